"""Runs the capacity tool as ``python -m acaciamoor.load.capacity``."""

import sys

from acaciamoor.load.capacity import main

sys.exit(main.main())
