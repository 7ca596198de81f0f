#include "routing/split.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cmath>
#include <limits>

namespace cranemux::routing {

std::size_t choose_share(std::string_view customer, const std::vector<Share>& shares) {
  if (shares.size() == 1) return 0;
  std::size_t best = 0;
  double least = std::numeric_limits<double>::infinity();
  for (std::size_t i = 0; i < shares.size(); ++i) {
    if (shares[i].weight <= 0) continue;
    const auto seed = XXH3_64bits(shares[i].pool.data(), shares[i].pool.size());
    const auto draw = XXH3_64bits_withSeed(customer.data(), customer.size(), seed);
    const double u = (static_cast<double>(draw >> 11U) + 0.5) * 0x1p-53;  // above 0 and below 1
    const double score = -std::log(u) / shares[i].weight;
    if (score < least) {
      least = score;
      best = i;
    }
  }
  return best;
}

}  // namespace cranemux::routing
