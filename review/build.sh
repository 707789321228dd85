#!/bin/sh
# Builds the stand-ins that the scripts start: plain Python, standard library only.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins [1-9] besides
