#!/usr/bin/env bash
# Builds the stand-ins of the second review: plain Python without packages, so this only compiles them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c '
import pathlib, sys
for path in sorted([pathlib.Path("platform2.py"), *pathlib.Path(".").glob("[0-9]*/case.py")]):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
'
