#!/bin/sh
# The stand-ins are Python modules of the standard library: there is nothing to compile
# but their syntax, and nothing to install. The instances are built by deploy/build.sh.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'CHECK'
import pathlib

for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
    print("checked", path)
CHECK
