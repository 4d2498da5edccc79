#!/usr/bin/env bash
# Runs the case; see claim.txt. Exit status: 1 if the rule was broken, 0 if not, 2 if it couldn't run.
cd "$(dirname "$0")" && exec python3 case.py
