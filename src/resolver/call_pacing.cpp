#include "resolver/call_pacing.h"

#include <algorithm>
#include <cmath>

namespace cranemux::resolver {
namespace {

constexpr int kDoublings = 5;  // of a wait, at most
// What discovery has to tell counts as told after 6 s, heard or not, and a node may be draining by then:
// longer waits would be quieter, and break that rule.
constexpr double kLongestOfAll = 1.25;  // longest wait, in spreads of the tier's calls
// Of an answer of this machine's own agent, which has nothing to wait for.
constexpr std::chrono::milliseconds kLeastHead{100}, kMostHead{500};

}  // namespace

CallPacing::CallPacing(int gatekeepers, std::uint64_t seed, Time longest, const Timeouts& patience)
    : random_(seed),
      spread_(std::min<Time>(kMaxSpread,
                             Time(std::llround(1e9 * std::max(0, gatekeepers - 1) / kTierCallsPerSecond)))),
      longest_alone_(longest),
      patience_(patience) {}

CallPacing::Time CallPacing::max_wait() const {
  return std::max<Time>(longest_alone_, std::chrono::duration_cast<Time>(spread_ * kLongestOfAll));
}

CallPacing::Time CallPacing::wait_after_watch(bool good) {
  failures_ = good ? 0 : std::min(failures_ + 1, kDoublings);
  if (good) return kMinWait + part_of(spread_);
  const auto span = std::min(max_wait(), std::max<Time>(kMinWait, spread_) * (1 << failures_));
  return span / 2 + part_of(span / 2);
}

CallPacing::Time CallPacing::wait_after_silence(bool good) {
  const auto wait = wait_after_watch(good);
  if (spread_ <= Time(0)) return wait;  // nobody else waits for this machine's own agent
  return kMinWait +
         part_of(std::min<Time>(spread_, kChangesKnownAfter - patience_.silence - kCallAllowance - kMinWait));
}

CallPacing::Time CallPacing::part_of(Time most) {
  const double part = static_cast<double>(random_() >> 11U) / static_cast<double>(1ULL << 53U);
  return Time(std::llround(part * static_cast<double>(most.count())));
}

// A stream of its own from the process's one seed: the module draws from the seed itself.
CallPacing call_pacing_for(const cranemux::Settings& settings) {
  constexpr std::uint64_t kStream = 0x9e3779b97f4a7c15;
  const auto seed = settings.seed ^ kStream;
  if (settings.list_on_request) return {settings.gateways, seed};
  // A call and the wait after it: three quarters of the grace together.
  using Time = CallPacing::Time;
  const Time grace(settings.drain_grace);
  CallPacing::Timeouts patience;
  patience.response_head = std::clamp<Time>(grace / 2, kLeastHead, kMostHead);
  return {1, seed, std::clamp<Time>(grace / 4, CallPacing::kMinWait, CallPacing::kMaxWait), patience};
}

}  // namespace cranemux::resolver
