#!/bin/sh
# Checks that the stand-ins can run; they are Python and use the standard library only. Run the build
# of deploy/system.toml first.
cd "$(dirname "$0")" || exit 1
exec python3 -B - standins.py crashes.py [1-9]/case.py <<'PYTHON'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for name in sys.argv[1:]:
    compile(pathlib.Path(name).read_text(encoding="utf-8"), name, "exec")
PYTHON
