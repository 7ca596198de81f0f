// Ids of requests that may have run and must not run again, for as long as their clients may come again with
// them. Free of I/O. Bounded: past that the oldest is forgotten.
#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cranemux::front {

class RecentIds {
 public:
  using Time = std::chrono::steady_clock::time_point;

  static constexpr std::size_t kMostIds = 8192;

  void add(const std::string& id, Time until, Time now) {
    while (!order_.empty() && (order_.size() >= kMostIds || order_.front().second <= now)) forget_oldest();
    order_.emplace_back(id, until);
    until_[id] = until;
  }
  bool contains(const std::string& id, Time now) const {
    const auto at = until_.find(id);
    return at != until_.end() && now < at->second;
  }
  std::vector<std::string> all(Time now) const {
    std::vector<std::string> out;
    for (const auto& [id, until] : until_) {
      if (now < until) out.push_back(id);
    }
    return out;
  }

 private:
  void forget_oldest() {
    const auto& [id, until] = order_.front();
    const auto at = until_.find(id);
    if (at != until_.end() && at->second == until) until_.erase(at);  // else it was added again since
    order_.pop_front();
  }

  std::deque<std::pair<std::string, Time>> order_;  // in which they were added
  std::unordered_map<std::string, Time> until_;
};

}  // namespace cranemux::front
