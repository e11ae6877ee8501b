#!/usr/bin/env bash
# The stand-ins of the scripts are Python programs of the standard library only
# (lib/deployment.py and each case.py): there is nothing to compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'P'
import pathlib

for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
print("review: stand-ins are ready")
P
