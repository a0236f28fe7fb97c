#!/bin/sh
# The stand-ins are Python and need no build; this checks that they load.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import sys
sys.path.insert(0, "review")
import scene'
