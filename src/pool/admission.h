// Whether a pool takes one more RPC: its budgets of channels that wait on it, RPCs in flight and bytes. Knows
// no socket and no clock. Which of the RPCs that are taken get a node is for the decision module to say.
#pragma once

#include <array>
#include <chrono>
#include <optional>
#include <string_view>

#include "pool/budget.h"

namespace cranemux::pool {

enum class Resource { channels, rpcs, bytes };
constexpr std::size_t kResources = 3;
std::string_view name_of(Resource resource);

// What an admitted RPC holds: the channel's place until its final answer, the rest until no attempt is out,
// either.
struct Place {
  Lease channel, rpc, bytes;
};

struct Denial {
  Resource short_of = Resource::rpcs;
  std::chrono::nanoseconds come_back{};
};

class Admission {
 public:
  using Budgets = std::array<std::shared_ptr<SharedBudget>, kResources>;
  using Parts = std::array<Part, kResources>;

  Admission(const Budgets& budgets, const Parts& parts);
  void alter(const Parts& parts);

  std::optional<Denial> admit(std::size_t bytes, Place& place);
  void answered(std::chrono::nanoseconds took);  // an RPC, from admission to its final answer
  std::size_t used(Resource resource) const { return purse(resource).used(); }
  const Part& part(Resource resource) const { return purse(resource).part(); }

 private:
  const Purse& purse(Resource resource) const { return purses_[static_cast<std::size_t>(resource)]; }
  std::chrono::nanoseconds come_back();

  std::array<Purse, kResources> purses_;
  double mean_ns_ = 0;             // of recent RPCs
  std::size_t denied_in_row_ = 0;  // since an RPC was last answered
};

}  // namespace cranemux::pool
