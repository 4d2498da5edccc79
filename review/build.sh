#!/usr/bin/env bash
# Compiles the stand-ins, which all cases share, and the cases. They use the standard library
# only, and the programs of the project come from the build of the deploy file (target/deps).
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q 1/standins ./*/*.py
