#!/bin/sh
# Builds what the scripts of cases 6 to 10 start beside the routers: the stand-ins, which are plain Python. They
# need the interpreter of the deploy file's build and the standard library, nothing else.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/standins2 review/6 review/7 review/8 review/9 review/10
