#include "resolver/call_pacing.h"

#include <algorithm>
#include <cmath>

namespace cranemux::resolver {
namespace {

constexpr int kMaxDoublings = 5;  // of the wait after consecutive failures
// Longest wait, in spreads of the tier's calls. Changes count as known 6 s after discovery has them, received
// or not, and a node may be draining by then: longer waits would cause less load, but break that rule.
constexpr double kMaxWaitSpreads = 1.25;
// Bounds of the timeout for the response head of an agent on this machine, which waits for nothing itself.
constexpr std::chrono::milliseconds kMinAgentTimeout{100}, kMaxAgentTimeout{500};

}  // namespace

CallPacing::CallPacing(int gatekeepers, std::uint64_t seed, Time max_single_wait, const Timeouts& timeouts)
    : random_(seed),
      spread_(std::min<Time>(kMaxSpread,
                             Time(std::llround(1e9 * std::max(0, gatekeepers - 1) / kTierCallsPerSecond)))),
      max_single_wait_(max_single_wait),
      timeouts_(timeouts) {}

CallPacing::Time CallPacing::max_wait() const {
  return std::max<Time>(max_single_wait_, std::chrono::duration_cast<Time>(spread_ * kMaxWaitSpreads));
}

CallPacing::Time CallPacing::wait_after_watch(bool good) {
  failures_ = good ? 0 : std::min(failures_ + 1, kMaxDoublings);
  if (good) return kMinWait + random_part_of(spread_);
  const auto span = std::min(max_wait(), std::max<Time>(kMinWait, spread_) * (1 << failures_));
  return span / 2 + random_part_of(span / 2);
}

CallPacing::Time CallPacing::wait_after_silence(bool good) {
  const auto wait = wait_after_watch(good);
  if (spread_ <= Time(0)) return wait;  // this machine's agent serves no other gatekeeper
  return kMinWait + random_part_of(std::min<Time>(
                        spread_, kChangesKnownAfter - timeouts_.silence - kCallAllowance - kMinWait));
}

CallPacing::Time CallPacing::random_part_of(Time max) {
  const double fraction = static_cast<double>(random_() >> 11U) / static_cast<double>(1ULL << 53U);
  return Time(std::llround(fraction * static_cast<double>(max.count())));
}

// The process has one seed, from which the decision module draws directly; the pacing gets a random sequence
// of its own.
CallPacing call_pacing_for(const cranemux::Settings& settings) {
  constexpr std::uint64_t kSeedMask = 0x9e3779b97f4a7c15;
  const auto seed = settings.seed ^ kSeedMask;
  if (settings.list_on_request) return {settings.gateways, seed};
  // A call and the wait after it take three quarters of the grace together, within the bounds of each.
  using Time = CallPacing::Time;
  const Time grace(settings.drain_grace);
  CallPacing::Timeouts timeouts;
  timeouts.response_head = std::clamp<Time>(grace / 2, kMinAgentTimeout, kMaxAgentTimeout);
  return {1, seed, std::clamp<Time>(grace / 4, CallPacing::kMinWait, CallPacing::kMaxWait), timeouts};
}

}  // namespace cranemux::resolver
