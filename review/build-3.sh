#!/bin/sh
# Prepares the stand-ins of review/11 to review/15: they are Python and need no
# build, so that this only checks that the libraries of the deploy file, the
# project's stand-ins and the scene can be imported.
cd "$(dirname "$0")/.." || exit 2
export PYTHONPATH="src:target/deps:review" PYTHONDONTWRITEBYTECODE=1
exec python3 -c "import scene3"
