"""Entry point of the platform stand-in."""

import sys

from acaciamoor.standins.platform import main

sys.exit(main.main())
