// cranemux_adapter: hosts one DecisionModule for each front door and speaks the simulator's wire.
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
