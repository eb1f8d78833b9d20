#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/figreel ] && [ -x target/stand3 ] || { echo "run the build of the deploy file and review/build-3.sh" >&2; exit 2; }
exec target/stand3 split target/figreel review/12/record.txt
