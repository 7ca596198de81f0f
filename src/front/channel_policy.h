// What the channels of a server may hold and for how long: decided here, without a socket.
#pragma once

#include <chrono>
#include <cstddef>

namespace cranemux::front {

// What a channel is doing: each but `waiting` and `streaming` has its time limit.
enum class ChannelState { silent, reading, waiting, writing, idle, leaving, streaming };

// How long a channel may stay in a state; in `reading`, without anything more (ArrivalDeadline). In a crowd
// an idle one has no more than a silent one.
std::chrono::milliseconds time_limit(ChannelState state, bool crowded);

// Which goes first where room is short, the lowest first: those done with, those that dawdle, those between
// requests, the rest.
int eviction_rank(ChannelState state, std::chrono::nanoseconds age);

// Clients hold at most a third of our descriptors for requests (PROTOCOL's front). A channel that stays open
// after its answer counts towards that third on their side, so one that nobody uses again keeps others from
// coming at all: nothing of it is to be seen here. So idle channels and those with an RPC together are kept
// to half of the third; what RPCs need of it comes first, and a small part is left to idle ones in any case.
class IdleBudget {
 public:
  explicit IdleBudget(std::size_t sockets);
  std::size_t allowed(std::size_t busy) const;  // idle channels, while so many have an RPC or write an answer
  // How many of the idle channels are to go, those idle for longest first.
  std::size_t surplus(std::size_t idle, std::size_t busy) const;

 private:
  std::size_t shared_, least_;
};

}  // namespace cranemux::front
