#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/deps ] || { echo "target/deps is missing: build first" >&2; exit 2; }
PYTHONPATH=target/deps exec python3 review/1/scenario.py
