// A busy customer's ledger in equal parts, each with a keeper of its own: one gatekeeper takes in so few
// messages that it cannot be asked about each request of a large plan by hundreds of others. Whoever is told
// that a part has none left asks the next one, so the parts are used up together. Free of I/O.
#pragma once

#include <algorithm>
#include <cmath>

namespace cranemux::ledger {

constexpr double kAsksOfPart = 0.125;      // of what a gatekeeper takes in, for one part of one customer
constexpr double kGatekeepersOfPart = 16;  // at least: fewer can be asked about together

// `rate` and `burst`: of the plan, units a second and units; each unit a question at worst. `most_units`: of
// one request; a part holds two such. `messages_per_s`: that one gatekeeper takes in. `spread`: gatekeepers
// of the customer.
inline int shard_count(double rate, double burst, double most_units, double messages_per_s, int spread) {
  const double asks = std::max(1.0, kAsksOfPart * messages_per_s);
  const double most = std::min(spread / kGatekeepersOfPart, burst / (2 * most_units));
  return std::max(1, static_cast<int>(std::min(std::ceil(rate / asks), std::floor(most))));
}

}  // namespace cranemux::ledger
