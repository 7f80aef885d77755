#!/bin/sh
# Plays the case; exits with 1 if the rule broke, 0 if it held, 2 otherwise.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
cd "$root" || exit 2
# TROUBLE=0 plays the same without the disruption.
export TROUBLE="${TROUBLE:-1}"
PYTHONPATH="$root/target/deps:$root:$root/review/rig-2" \
    exec python3 "$here/case.py"
