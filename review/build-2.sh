#!/usr/bin/env bash
# Prepares the scripts of the second review (review/6 to review/10). Their stand-ins are plain
# Python and need the standard library only; compiling them shows that this interpreter can.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile standins_2.py [6-9]/case.py
