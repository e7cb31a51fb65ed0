"""Entry point of ``python -m acaciamoor.report``."""

import sys

from acaciamoor.report import main

sys.exit(main.main())
