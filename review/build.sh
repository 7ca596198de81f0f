#!/usr/bin/env bash
# Builds the stand-ins that the cases start, into review/build. Needs a C++20 compiler and nothing else.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for number in 1 2 3; do
  [ -f "$number/case.cpp" ] || continue
  "${CXX:-c++}" -std=c++20 -O1 -g -Wall -Wextra -pthread -Istandins -o "build/case$number" "$number/case.cpp" standins/standins.cpp
done
