"""Runs the balancer."""

import sys

from acaciamoor.balancer import main

sys.exit(main.main())
