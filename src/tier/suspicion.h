// Which members have not answered questions about quotas lately, and are passed over as quota leaders. A
// suspicion ends by itself, or with any word of its member. Free of I/O.
#pragma once

#include <chrono>
#include <cstddef>
#include <utility>
#include <vector>

namespace cranemux::tier {

class Suspicion {
 public:
  using Time = std::chrono::nanoseconds;  // of the holder's steady clock

  explicit Suspicion(int members) : until_(static_cast<std::size_t>(members), Time(0)) {}

  // It was asked several times, and has not answered.
  void suspect(int member, Time now) { at(member) = now + kSuspected; }
  // Anything good from that member.
  void heard(int member) { at(member) = Time(0); }
  bool suspected(int member, Time now) const { return now < until_[static_cast<std::size_t>(member)]; }

  // Until when each member is suspected: for the process that takes over from this one.
  const std::vector<Time>& until() const { return until_; }
  void restore(std::vector<Time> until) { until_ = std::move(until); }

 private:
  static constexpr Time kSuspected = std::chrono::seconds(2);
  Time& at(int member) { return until_[static_cast<std::size_t>(member)]; }
  std::vector<Time> until_;
};

}  // namespace cranemux::tier
