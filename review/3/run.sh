#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/standin ] && [ -x bin/initiator ] || { echo "build first: the deploy file's build, then review/build.sh" >&2; exit 2; }
exec review/bin/standin refused-again "$PWD" "$PWD/review/3"
