// How often a keeper is asked about a customer that has nothing left. Each "none left" tells for how long not
// to ask again; the keeper lengthens that while it is asked more often than what is left can serve, and
// shortens it while it is not. So a customer far beyond its quota, at hundreds of gatekeepers, costs its
// keeper no more messages than it takes to use the quota up, and a short burst is forgotten soon. Free of
// I/O.
#pragma once

#include <algorithm>
#include <cstddef>

#include "ledger/leader_election.h"

namespace cranemux::ledger {

constexpr Time kPauseStep = std::chrono::milliseconds(50);  // on the wire

class RequestPacing {
 public:
  struct Load {
    double rate = 0;       // of the ledger, units a second
    double most_asks = 1;  // a second, that one gatekeeper can hear
    int gatekeepers = 1;   // of the tier
    std::size_t askers = 1;
  };
  // An ask has come.
  void record_request(const Load& terms, Time now) {
    // Few gatekeepers have messages to spare for every customer, and cannot ask too often if each waits its
    // turn.
    const double spare = terms.most_asks * std::min(1.0, kFew / std::max(1, terms.gatekeepers - 1));
    const double least = std::max(kLeastAsks, spare);
    const double wanted = std::clamp(kAsksOfUnit * terms.rate, least, std::max(least, terms.most_asks));
    const double passed = static_cast<double>((now - at_).count()) / 1e9;
    const double most = std::min(kMost, 2 * static_cast<double>(terms.askers) / wanted);
    pause_ = std::clamp(pause_ + kGain * (1 / wanted - passed), 0.0, most);
    at_ = now;
  }
  // For how long who is told "none left" asks no more.
  Time pause() const { return Time(static_cast<std::int64_t>(pause_ * 1e9)); }

 private:
  static constexpr double kAsksOfUnit = 1.5;  // for each unit that fills: some come in vain
  static constexpr double kLeastAsks = 2;     // a second
  static constexpr double kFew = 4;           // gatekeepers that ask
  static constexpr double kGain = 0.3;        // seconds of pause for each second of asks too much or too few
  static constexpr double kMost = 6;          // seconds
  double pause_ = 0;
  Time at_{0};
};

}  // namespace cranemux::ledger
