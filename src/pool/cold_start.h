// How much a server that has just started can bear, and its turns: so that a fleet sends each cold server its
// part of the work and no more. Free of I/O.
#pragma once

#include <algorithm>
#include <chrono>
#include <vector>

#include "pool/answer_times.h"
#include "pool/server.h"

namespace cranemux::pool {

class ColdStart {
 public:
  ColdStart(double cold_from, Nanos warm_up, int gateways)
      : cold_from_(cold_from), warm_up_(warm_up), gateways_(gateways) {}

  // A started server can do a part of its work that grows to the whole; the least it can be.
  double warmth(const Server& server, Nanos now) const {
    if (server.entry.started == 0 || warm_up_ <= 0) return 1;
    const auto age = static_cast<double>(now - server.entry.started);
    return std::clamp(cold_from_ + (1 - cold_from_) * age / static_cast<double>(warm_up_), cold_from_, 1.0);
  }

  // Slow start: a cold server gets its part of what each warm one answers (what it is sent may be more than
  // any can do, id9b425). A turn not used for a second is gone, or a fleet would save and spend them at once.
  // `per_s`: answers of all servers to this gateway; `draw`: from 0 on, under 1.
  template <typename Draw>
  void refill(std::vector<Server>& servers, double per_s, Nanos passed, Nanos now, const Draw& draw) const {
    double capacity = 0;
    for (const auto& server : servers) {
      if (server.entry.state == ServerState::running) capacity += warmth(server, now);
    }
    const double per_unit = per_s / std::max(capacity, 1.0);
    for (auto& server : servers) {
      AnswerTimes::fade(server, std::chrono::nanoseconds(passed));
      const double rate = per_unit * warmth(server, now) + kFloor / gateways_;
      server.cold_tokens += rate * static_cast<double>(passed) / 1e9;
      if (server.cold_tokens > 1 + rate) server.cold_tokens = rate < 1 ? draw() * rate : 1 + rate / 4;
    }
  }

 private:
  static constexpr double kFloor =
      0.25;  // attempts a second to a cold server, from the whole fleet, at least
  double cold_from_;
  Nanos warm_up_;
  int gateways_;
};

}  // namespace cranemux::pool
