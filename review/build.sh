#!/bin/sh
# The stand-ins are Python and need no build; this checks that they load, with
# the libraries of the deploy file alone.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 python3 -S -c 'import sys
sys.path[:0] = ["review", "review/3"]
import scene
import standins
from briarfall.standins.prepared import manifests
from briarfall.standins.prepared import registeredtarget
from briarfall.standins.prepared import services
from briarfall.standins.prepared import store'
