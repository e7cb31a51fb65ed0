#!/bin/sh
# Installs the libraries and packages that the hosts need in target/deps.
set -eu
deps=target/deps
# Compiled libraries fit one processor architecture and one Python version.
stamp=$(
    python3 -c 'import platform, sys; print(platform.machine(), sys.version)'
    cat deploy/requirements.txt
)
if [ "$stamp" != "$(cat target/libraries.installed 2>/dev/null)" ]; then
    rm -rf "$deps"
    python3 -m pip install --quiet --disable-pip-version-check --no-deps \
        --target "$deps" -r deploy/requirements.txt
    printf '%s\n' "$stamp" > target/libraries.installed
fi
python3 deploy/stage.py "$deps"
python3 -m compileall -q "$deps/acaciamoor" "$deps/acaciamoor_site"
