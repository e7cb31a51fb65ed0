#!/bin/sh
# Checks the stand-ins; they need nothing but Python 3.11 and its library.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m compileall -q standins [1-5]
