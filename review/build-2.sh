#!/bin/sh
# Builds the stand-ins of the second review: Python of the standard library, so this only checks
# that the interpreter of the deploy file has what they need and that every module compiles.
cd "$(dirname "$0")/.." || exit 2
exec python3 -B - <<'PYTHON'
import sys
from pathlib import Path

if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11")
for path in sorted(Path("review").glob("testbed/*.py")) + sorted(Path("review").glob("[4-8]/*.py")):
    compile(path.read_text(), str(path), "exec")
print("built")
PYTHON
