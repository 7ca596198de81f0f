#include "resolver/pacing.h"

#include <algorithm>
#include <cmath>

namespace cranemux::resolver {
namespace {

constexpr int kDoublings = 5;  // of a wait, at most
// What discovery has to tell counts as told after 6 s, heard or not, and a node may be draining by then:
// longer waits would be quieter, and break that rule.
constexpr double kLongestOfAll = 1.25;  // longest wait, in spreads of the tier's calls

}  // namespace

Pacing::Pacing(int gatekeepers, std::uint64_t seed)
    : random_(seed),
      spread_(std::min<Time>(kKnown, Time(std::llround(1e9 * std::max(0, gatekeepers - 1) / kCalls)))) {}

Pacing::Time Pacing::longest() const {
  return std::max<Time>(kLongest, std::chrono::duration_cast<Time>(spread_ * kLongestOfAll));
}

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

// A stream of its own from the process's one seed: the module draws from the seed itself.
Pacing pacing_of(const cranemux::Settings& settings) {
  constexpr std::uint64_t kStream = 0x9e3779b97f4a7c15;
  return {settings.list_on_request ? settings.gateways : 1, settings.seed ^ kStream};
}

}  // namespace cranemux::resolver
