// How often a keeper is asked about a customer that has nothing left. Each "none left" tells for how long not
// to ask again; the keeper lengthens that while it is asked more often than what is left can serve, and
// shortens it while it is not. So a customer far beyond its quota, at hundreds of gatekeepers, costs its
// keeper no more messages than it takes to use the quota up, and a short burst is forgotten soon. Free of
// I/O.
#pragma once

#include <algorithm>

#include "ledger/rights.h"

namespace cranemux::ledger {

constexpr Time kPauseStep = std::chrono::milliseconds(50);  // on the wire

class AskPacing {
 public:
  // An ask has come. `rate`: of the ledger, units a second; `most_asks`: that it may cost a second.
  void asked(double rate, double most_asks, Time now) {
    const double wanted = std::clamp(kAsksOfUnit * rate, kLeastAsks, std::max(kLeastAsks, most_asks));
    const double passed = static_cast<double>((now - at_).count()) / 1e9;
    pause_ = std::clamp(pause_ + kGain * (1 / wanted - passed), 0.0, kMost);
    at_ = now;
  }
  // For how long who is told "none left" asks no more.
  Time pause() const { return Time(static_cast<std::int64_t>(pause_ * 1e9)); }

 private:
  static constexpr double kAsksOfUnit = 1.5;  // for each unit that fills: some come in vain
  static constexpr double kLeastAsks = 2;     // a second
  static constexpr double kGain = 0.3;        // seconds of pause for each second of asks too much or too few
  static constexpr double kMost = 6;          // seconds
  double pause_ = 0;
  Time at_{0};
};

}  // namespace cranemux::ledger
