// How pressed the nodes of a large fleet are, as one gatekeeper of many can tell: it has too few answers of
// one node, so the newest of all are held against those of long, after the gradients of Netflix's and Envoy's
// concurrency limits. What answers take when nothing presses is learnt, for it is the site's: a part of them
// is late by any fixed measure.
#pragma once

#include <algorithm>
#include <cmath>

namespace cranemux::pool {

class Load {
 public:
  // By how much windows open or close after an answer, or a wait in vain, of this share of its aim.
  double change(double share) {
    ++count_;
    share = std::max(share, kShortest);
    if (base_ > 0) share = std::min(share, kOutlier * base_);
    recent_ += std::max(1 / count_, kRecentGain) * (share - recent_);
    const double gain = recent_ < base_ ? kFallGain : kRiseGain;
    base_ = count_ <= kFirst ? recent_ : base_ + gain * (recent_ - base_);
    return std::clamp(std::pow(kTolerance * base_ / recent_, kSlope), kMostClosed, kMostOpened);
  }

 private:
  static constexpr double kMostClosed = 0.92, kMostOpened = 1.03;  // by one answer
  static constexpr double kTolerance = 1.4;   // answers this much slower than usual leave windows as they are
  static constexpr double kSlope = 0.25;      // of the change over the slowness, both as logarithms
  static constexpr double kRecentGain = 0.1;  // some ten answers: two to three seconds of one gatekeeper
  static constexpr double kFallGain = 0.02;   // what is usual falls in some fifty answers ...
  static constexpr double kRiseGain = 0.005;  // ... and rises in some two hundred: trouble is not usual
  static constexpr double kFirst = 16;        // answers that set it at first
  static constexpr double kOutlier = 4;       // one counts as no more than so many usual ones
  static constexpr double kShortest = 1e-3;

  double count_ = 0, recent_ = 0, base_ = 0;
};

}  // namespace cranemux::pool
