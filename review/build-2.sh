#!/bin/sh
# Builds the stand-ins that the cases 6 to 10 start: compiles the store, the workers and the scripts.
# They need nothing but Python; the libraries of the instances are those of the deploy file's build.
cd "$(dirname "$0")" || exit 2
exec python3 -m compileall -q standins_2 6 7 8 9 10
