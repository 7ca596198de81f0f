// How long servers take to answer, in shares of the aim of the class asked for, so that classes compare; what
// has been measured, for the decision module to choose by. A gateway of a large fleet meets each server
// seldom: what one has shown is kept as its distance from the mean of all, so one unheard of is as good as
// the others, and fades with time, so a server that was slow is tried again.
#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>

#include "pool/server.h"

namespace cranemux::pool {

class AnswerTimes {
 public:
  explicit AnswerTimes(double first) : mean_(first) {}

  double of(const Server& server) const { return std::max(kLeast * mean_, mean_ + server.excess); }
  // So far beyond the others that its lateness says nothing of them.
  bool slow(const Server& server) const { return of(server) > kSlow * mean_; }

  // An answer that has not come has taken at least the wait for it.
  void learn(Server& server, double share) {
    server.excess += kOwnGain * (share - mean_ - server.excess);
    mean_ += kMeanGain * (std::min(share, kOutlier * mean_) - mean_);
  }
  static void fade(Server& server, std::chrono::nanoseconds passed) {
    server.excess *= std::exp(-std::chrono::duration<double>(passed) / kLife);
  }

 private:
  static constexpr double kOwnGain = 0.3;    // weight of a new answer in a server's own mean
  static constexpr double kMeanGain = 0.02;  // and in the mean of all, where one counts ...
  static constexpr double kOutlier = 4;      // ... as no more than so many means
  static constexpr double kLeast = 0.1;      // of the mean, however quick
  static constexpr double kSlow = 2;
  static constexpr std::chrono::seconds kLife{10};  // of what a server has shown

  double mean_;
};

}  // namespace cranemux::pool
