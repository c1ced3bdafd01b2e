#!/bin/sh
# Builds the stand-ins that the scripts of the third review start: their own in
# review/standins3 and the project's, which run in the process of a script.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:. python3 -m compileall -q review/standins3 cornelturn/platform/standin
PYTHONPATH=target/deps:. python3 -c "import review.standins3.scenario"
