// Perfect stores: what a quota would have let through with all known at once, to hold against what was sent
// on.
#pragma once

#include <algorithm>

namespace cranemux::scale {

class Store {
 public:
  Store(double rate, double burst) : rate_(rate), burst_(burst), level_(burst) {}

  double level(double now_s) {
    level_ = std::min(burst_, level_ + rate_ * (now_s - filled_s_));
    filled_s_ = now_s;
    return level_;
  }
  // Units of it that were beyond: those take nothing from the store.
  double take(double units, double now_s) {
    const double beyond = level(now_s) >= units ? 0 : units;
    if (beyond <= 0) level_ -= units;
    return beyond;
  }
  double burst() const { return burst_; }

 private:
  double rate_, burst_, level_, filled_s_ = 0;
};

}  // namespace cranemux::scale
