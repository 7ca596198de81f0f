#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10 into review/build-2, with the compiler that the program is built with.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
mkdir -p ../build-2
rm -f ../build-2/case_*
compiler=${CXX:-c++}
for case in case_*.cpp; do
  name=${case%.cpp}
  "$compiler" -std=c++20 -O1 -g -Wall -Wextra -Wno-missing-field-initializers -o "../build-2/$name" "$case" standins.cpp -pthread &
done
wait
for case in case_*.cpp; do test -x "../build-2/${case%.cpp}"; done
