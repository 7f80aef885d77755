#!/bin/sh
# Checks the stand-ins that the scripts of review/6 to review/10 start; all of
# them are Python and need no more than the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH="target/deps:.:review/rig-2" python3 - <<'PYTHON'
import ast
import pathlib

import kingcuplever.platform.settings
import rig
import standins.wire_store

for path in pathlib.Path("review").glob("rig-2/*.py"):
    ast.parse(path.read_text(encoding="utf-8"))
PYTHON
