"""Entry point of ``python -m acaciamoor.balancer``."""

import sys

from acaciamoor.balancer import main

sys.exit(main.main())
