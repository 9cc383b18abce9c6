#!/bin/sh
# Builds what the cases start beside the routers: the stand-ins in this folder, which need the standard library only.
set -e
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "review/build.sh: first the line build of deploy/balancer.toml"; exit 2; }
.venv/bin/python -m compileall -q review
