#!/usr/bin/env bash
# Builds the stand-ins of the cases, after the build of the deploy file. They are Python modules of the standard
# library, so this only compiles them.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
