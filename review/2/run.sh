#!/usr/bin/env bash
# Plays this case: see claim.txt. Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.
exec bash "$(dirname "$0")/../standins/play" "$(dirname "$0")" 2
