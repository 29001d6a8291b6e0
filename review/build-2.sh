#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. They are Python modules that
# need the standard library only, and none of the project's own stand-ins is used.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/support_2 review/6 review/7 review/8 review/9 review/10
