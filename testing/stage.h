// Where stand-ins play: one event loop that the test itself turns, so nothing runs beside it.
#pragma once

#include <chrono>
#include <functional>

#include "net/net.h"

namespace cranemux::testing {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

class Stage {
 public:
  net::asio::io_context& io() { return io_; }
  void play(milliseconds time);
  // False: it was not so within `most`, which only a failure takes.
  bool play_until(const std::function<bool()>& done, milliseconds most = milliseconds(20'000));

 private:
  net::asio::io_context io_{1};
};

}  // namespace cranemux::testing
