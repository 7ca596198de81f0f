#include "front/channel_policy.h"

#include <algorithm>

#include "front/arrival_deadline.h"

namespace cranemux::front {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kSilent{2000};    // for the first byte of the first request, and idle in a crowd
constexpr milliseconds kIdle{30'000};    // between requests, while there is room
constexpr milliseconds kWriting{8000};   // in which a client takes nothing of its answer
constexpr milliseconds kLeaving{1000};   // for a client to end its side after its last answer
constexpr milliseconds kFresh{250};      // a client that means well has sent its request by then
constexpr std::size_t kClientsPart = 3;  // one in so many descriptors is the clients' own bound
constexpr std::size_t kLeastPart = 48;   // one in so many is left to idle channels, however many are busy

}  // namespace

milliseconds time_limit(ChannelState state, bool crowded) {
  switch (state) {
    case ChannelState::silent:
      return kSilent;
    case ChannelState::reading:
      return ArrivalDeadline::kLongestSilence;
    case ChannelState::waiting:
      return std::chrono::hours(24);  // the core answers in time
    case ChannelState::streaming:
      return std::chrono::hours(24 * 365);  // its source knows its bounds
    case ChannelState::writing:
      return kWriting;
    case ChannelState::idle:
      return crowded ? kSilent : kIdle;
    case ChannelState::leaving:
      return kLeaving;
  }
  return kIdle;
}

int eviction_rank(ChannelState state, std::chrono::nanoseconds age) {
  if (state == ChannelState::leaving) return 0;
  if (state == ChannelState::idle) return 2;
  return age > kFresh ? 1 : 3;
}

IdleBudget::IdleBudget(std::size_t sockets)
    : shared_(sockets / kClientsPart / 2), least_(std::max<std::size_t>(1, sockets / kLeastPart)) {}

std::size_t IdleBudget::allowed(std::size_t busy) const {
  return std::max(least_, shared_ - std::min(shared_, busy));
}

std::size_t IdleBudget::surplus(std::size_t idle, std::size_t busy) const {
  return idle - std::min(idle, allowed(busy));
}

}  // namespace cranemux::front
