#!/bin/sh
# Builds the stand-ins that the scripts start: they are Python, run from their
# sources with target/deps, so this checks that all of them can be loaded.
cd "$(dirname "$0")/.." || exit 2
export PYTHONPATH=target/deps:. PYTHONDONTWRITEBYTECODE=1
exec python3 -c "import review.common.site"
