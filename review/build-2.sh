#!/bin/sh
# Compiles the stand-ins of the scripts in review/6 and above. They use the
# standard library only, and none of the project's own stand-ins.
set -eu
cd "$(dirname "$0")/.."
target/python -m compileall -q review/lib2
