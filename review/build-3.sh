#!/bin/bash
# Checks the stand-ins of the cases 11 to 15, which need nothing but Python's standard library.
set -eu
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - <<'PYTHON'
import pathlib

for name in ("standins3.py", "engine3.py", "plain3.py", "unframed3.py"):
    compile(pathlib.Path(name).read_text(encoding="utf-8"), name, "exec")
PYTHON
