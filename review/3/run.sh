#!/usr/bin/env bash
# Plays this case: see claim.txt. Writes record.txt in this folder: what was run, sent and answered, and the exit code.
# Exit code: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
echo "case 3, TROUBLE=${TROUBLE:-1}" >"$folder/record.txt" || exit 2
exec bash "$folder/../standins/play" 3 "$folder/record.txt"
