#include "pool/admission.h"

#include <algorithm>

namespace cranemux::pool {
namespace {

using std::chrono::milliseconds;

constexpr double kGain = 0.1;  // weight of a new RPC in the mean
constexpr milliseconds kSoonest{100}, kLatest{5000};

}  // namespace

std::string_view name_of(Resource resource) {
  constexpr std::string_view kNames[kResources] = {"channels", "rpcs", "bytes"};
  return kNames[static_cast<std::size_t>(resource)];
}

Admission::Admission(const Budgets& budgets, const Parts& parts)
    : purses_{Purse{budgets[0], parts[0]}, Purse{budgets[1], parts[1]}, Purse{budgets[2], parts[2]}} {}

void Admission::alter(const Parts& parts) {
  for (std::size_t i = 0; i < kResources; ++i) purses_[i].alter(parts[i]);
}

std::optional<Denial> Admission::admit(std::size_t bytes, Place& place) {
  const std::array<std::size_t, kResources> needs{1, 1, bytes};
  std::array<Lease*, kResources> leases{&place.channel, &place.rpc, &place.bytes};
  for (std::size_t i = 0; i < kResources; ++i) {
    if (needs[i] == 0) continue;
    *leases[i] = purses_[i].take(needs[i]);
    if (*leases[i]) continue;
    place = {};
    return Denial{static_cast<Resource>(i), come_back()};
  }
  return std::nullopt;
}

void Admission::answered(std::chrono::nanoseconds took) {
  const auto ns = static_cast<double>(took.count());
  mean_ns_ = mean_ns_ > 0 ? mean_ns_ + kGain * (ns - mean_ns_) : ns;
  denied_in_row_ = 0;
}

// A place is free again after about the time of an RPC over the places that there are; who was denied since
// the last one came free stands in line before.
std::chrono::nanoseconds Admission::come_back() {
  ++denied_in_row_;
  const auto places = static_cast<double>(std::max<std::size_t>(1, used(Resource::rpcs)));
  const double wait = mean_ns_ * (1 + static_cast<double>(denied_in_row_) / places);
  return std::clamp<std::chrono::nanoseconds>(
      std::chrono::nanoseconds(static_cast<std::int64_t>(std::min(wait, 1e12))), kSoonest, kLatest);
}

}  // namespace cranemux::pool
