// Until when more of a request has to come. Free of I/O.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace cranemux::front {

// Each byte gives time for more, and none is saved up: a client may be slow, but not stand still, however
// much it has sent. DAYS.md allows 2 s for a head, and a body at 64 kB a second.
class ArrivalDeadline {
 public:
  using Time = std::chrono::steady_clock::time_point;

  static constexpr std::chrono::milliseconds kLongestSilence{2700};
  static constexpr std::chrono::nanoseconds kPerByte{31'250};  // half the speed that a client may have

  explicit ArrivalDeadline(Time now) : deadline_(now + kLongestSilence) {}

  void received(Time now, std::size_t bytes) {
    const auto bought = kPerByte * static_cast<std::int64_t>(bytes);
    deadline_ = std::min(deadline_ + bought, now + kLongestSilence);
  }
  // For so long the client could not go on.
  void paused(std::chrono::nanoseconds span) { deadline_ += span; }
  bool over(Time now) const { return now >= deadline_; }

 private:
  Time deadline_;
};

}  // namespace cranemux::front
