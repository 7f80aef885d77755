#!/usr/bin/env bash
# Checks the stand-ins that the scripts of cases 11 to 15 start.  They are
# Python, so there is nothing to compile: they have to be found and imported
# with what the build of the deploy file has put into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:.:review/rig-3"
python3 - <<'PYTHON'
import kingcuplever.platform.entry_role
import kingcuplever.platform.side_role
import rig

assert rig.Executor and rig.Site
PYTHON
for script in review/1[1-5]/*.py; do
    [ -e "$script" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$script"
done
echo "stand-ins of review/rig-3 are usable"
