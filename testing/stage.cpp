#include "testing/stage.h"

namespace cranemux::testing {

void Stage::play(milliseconds time) {
  io_.restart();
  io_.run_for(time);
}

bool Stage::play_until(const std::function<bool()>& done, milliseconds most) {
  const auto end = Clock::now() + most;
  while (!done()) {
    if (Clock::now() >= end) return false;
    play(milliseconds(2));
  }
  return true;
}

}  // namespace cranemux::testing
