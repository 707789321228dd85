#!/bin/sh
# Puts the libraries and the project's packages under target/deps, compiled: start-up time counts.
set -eu
mkdir -p target/deps
if ! [ target/.libraries -nt deploy/requirements.txt ]; then
    python3 -m pip install -q --disable-pip-version-check -U --target target/deps \
        -r deploy/requirements.txt
    python3 -m compileall -q target/deps
    touch target/.libraries
fi
rm -rf target/deps/tamarack_*
for source in packages/core/src packages/gateway/src platform/src; do
    cp -r "$source"/tamarack_* target/deps/
done
rm -rf target/deps/*.egg-info
python3 -m compileall -q target/deps/tamarack_core target/deps/tamarack_gateway \
    target/deps/tamarack_platform
