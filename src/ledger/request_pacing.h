// Paces the lease requests for a customer whose ledger is empty. Each answer "none left" carries a pause
// after which the next request may be sent; the leader lengthens it while requests come faster than the
// refill can serve them, and shortens it while they come more slowly. So a customer far beyond its quota at
// hundreds of gatekeepers costs its leader no more messages than it takes to use up the quota, and the pause
// recovers soon after a short burst. Free of I/O.
#pragma once

#include <algorithm>
#include <cstddef>

#include "ledger/leader_election.h"

namespace cranemux::ledger {

constexpr Time kPauseStep = std::chrono::milliseconds(50);  // unit of the pause in a message

class RequestPacing {
 public:
  struct Load {
    double rate = 0;           // of the ledger, units a second
    double most_requests = 1;  // a second, that one gatekeeper can receive
    int gatekeepers = 1;       // of the tier
    std::size_t requesters = 1;
  };
  // Records a lease request and adapts the pause.
  void record_request(const Load& load, Time now) {
    // A few gatekeepers have messages to spare for every customer, and cannot overload the leader if each
    // waits between its requests.
    const double spare = load.most_requests * std::min(1.0, kFewPeers / std::max(1, load.gatekeepers - 1));
    const double least = std::max(kLeastRequests, spare);
    const double wanted =
        std::clamp(kRequestsPerUnit * load.rate, least, std::max(least, load.most_requests));
    const double passed = static_cast<double>((now - last_request_at_).count()) / 1e9;
    const double most = std::min(kMaxPause, 2 * static_cast<double>(load.requesters) / wanted);
    pause_ = std::clamp(pause_ + kGain * (1 / wanted - passed), 0.0, most);
    last_request_at_ = now;
  }
  // Returns how long a gatekeeper that is answered "none left" waits before its next request.
  Time pause() const { return Time(static_cast<std::int64_t>(pause_ * 1e9)); }

 private:
  static constexpr double kRequestsPerUnit = 1.5;  // for each unit of refill: some are answered "none left"
  static constexpr double kLeastRequests = 2;      // a second
  static constexpr double kFewPeers = 4;           // gatekeepers that send requests
  static constexpr double kGain = 0.3;    // change of the pause for each second too early or too late
  static constexpr double kMaxPause = 6;  // seconds
  double pause_ = 0;                      // seconds
  Time last_request_at_{0};
};

}  // namespace cranemux::ledger
