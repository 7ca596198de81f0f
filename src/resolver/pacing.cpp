#include "resolver/pacing.h"

#include <algorithm>
#include <cmath>

namespace cranemux::resolver {
namespace {

constexpr int kDoublings = 5;     // of a wait, at most
constexpr int kLongestOfAll = 4;  // longest wait, in spreads of the tier's calls

}  // namespace

Pacing::Pacing(int gatekeepers, std::uint64_t seed)
    : random_(seed), spread_(std::llround(1e9 * std::max(0, gatekeepers - 1) / kCalls)) {}

Pacing::Time Pacing::longest() const { return std::max<Time>(kLongest, spread_ * kLongestOfAll); }

Pacing::Time Pacing::again(bool good) {
  failures_ = good ? 0 : std::min(failures_ + 1, kDoublings);
  if (good) return kFirst + part_of(spread_);
  const auto span = std::min(longest(), std::max<Time>(kFirst, spread_) * (1 << failures_));
  return span / 2 + part_of(span / 2);
}

Pacing::Time Pacing::part_of(Time most) {
  const double part = static_cast<double>(random_() >> 11U) / static_cast<double>(1ULL << 53U);
  return Time(std::llround(part * static_cast<double>(most.count())));
}

}  // namespace cranemux::resolver
