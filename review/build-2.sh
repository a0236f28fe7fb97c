#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start: Python modules
# of this repository, which need nothing but the libraries that the build
# command of the deploy file has put into target/deps.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q src/briarfall review/*2.py
PYTHONPATH=src:target/deps python3 -c "
from briarfall.standins.prepared import manifests, store
"
