#!/bin/sh
# Checks that the stand-ins of the scripted cases compile and find their libraries.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH="target/deps:." exec python3 -c "
import importlib
for name in ('fleet', 'lossy', 'store', 'workers'):
    importlib.import_module('review.standins2.' + name)
"
