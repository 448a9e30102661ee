#!/usr/bin/env bash
# Builds the stand-ins of the second review, which are plain Python without packages, so they are only
# compiled, and the pinned packages of the deploy file for the later Pythons that case 9 uses.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c '
import pathlib
for path in sorted([pathlib.Path("review/platform2.py"), *pathlib.Path("review").glob("[0-9]*/case.py")]):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
'
for version in 3.13 3.12; do
    folder=target/deps-$version
    for python in "$(command -v "python$version" || true)" "$HOME"/.pyenv/versions/"$version".*/bin/"python$version"; do
        [ ! -d "$folder/waitress" ] && [ -x "$python" ] && "$python" -c "" 2>/dev/null || continue
        "$python" -m pip install -q --no-deps --target "$folder" -r deploy/requirements.txt || true
    done
done
