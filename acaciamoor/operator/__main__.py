"""Runs ``acaciamoor-operator``."""

import sys

from acaciamoor.operator import main

sys.exit(main.main())
