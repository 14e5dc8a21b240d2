#!/bin/sh
# Builds the stand-ins of the third review: they are Python, so this checks that they compile.
# The scripts use the standard library and no stand-in of the project's own.
cd "$(dirname "$0")" || exit 1
python3 - <<'CHECK'
import sys
from pathlib import Path

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in [*Path("standins_3").glob("*.py"), *sorted(Path().glob("1[1-5]/*.py"))]:
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
CHECK
