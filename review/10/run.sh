#!/usr/bin/env bash
# Case 10. TROUBLE=0 plays it without the disruption. Exit code 1: the rule was broken, 0: it held, 2: not run.
# Needs the build of the deploy file and review/build-2.sh.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
for program in build/cranemux review/build-2/case_short; do
  [ -x "$program" ] || { echo "not built: $program"; exit 2; }
done
exec review/build-2/case_short "$here/record.txt"
