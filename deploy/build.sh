#!/bin/sh
# Installs the libraries and packages that the hosts need in target/deps.
set -eu
deps=target/deps
if ! cmp -s deploy/requirements.txt target/requirements.installed; then
    rm -rf "$deps"
    python3 -m pip install --quiet --disable-pip-version-check --no-deps \
        --target "$deps" -r deploy/requirements.txt
    cp deploy/requirements.txt target/requirements.installed
fi
python3 deploy/stage.py "$deps"
python3 -m compileall -q "$deps/acaciamoor" "$deps/acaciamoor_site"
