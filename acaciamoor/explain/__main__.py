"""Entry point of ``python -m acaciamoor.explain``."""

import sys

from acaciamoor.explain import main

if __name__ == '__main__':
    sys.exit(main.main())
