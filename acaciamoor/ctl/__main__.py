"""Runs ``acaciamoorctl``."""

import sys

from acaciamoor.ctl import main

sys.exit(main.main())
