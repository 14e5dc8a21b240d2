#!/bin/sh
# Builds the stand-ins that the cases start: compiles the emulator of the platform and the scripts.
# Their libraries are those of the deploy file's build, under target/deps.
cd "$(dirname "$0")/.." || exit 2
[ -d target/deps ] || { echo "run the build of deploy/system.toml first" >&2; exit 2; }
exec python3 -m compileall -q platform/emulator/src platform/src libs/*/src review
