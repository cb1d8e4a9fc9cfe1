#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/rig2 ] && [ -x target/pistachiovane ] || { echo "not built: the deploy file's build, then review/build-2.sh" >&2; exit 2; }
exec target/review/rig2 equal review/6/record.txt
