"""Runs the load tool as ``python -m acaciamoor.load``."""

import sys

from acaciamoor.load import main

sys.exit(main.main())
