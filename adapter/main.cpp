// cranemux_adapter: runs one DecisionModule for each gateway of a simulation. Reads the simulator's protocol
// from standard input and writes the replies to standard output. Exits with 1 at the first line that it
// cannot read.
#include <cstdio>
#include <exception>
#include <iostream>

#include "wire.h"

int main() {
  std::ios::sync_with_stdio(false);
  try {
    cranemux::wire::serve(std::cin, std::cout);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "cranemux_adapter: %s\n", error.what());
    return 1;
  }
  return 0;
}
