#!/bin/sh
# Plays the case; exit code 1: the rule was broken, 0: it held, 2: the case could not run.
# TROUBLE=0 plays the same without the disruption.
TROUBLE=${TROUBLE:-1}
export TROUBLE
cd "$(dirname "$0")/../.." || exit 2
exec .venv/bin/python "review/6/play.py"
