// Shares of a route over several pools, by weight and sticky to the customer.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cranemux::routing {

struct Share {
  std::string pool;
  double weight = 0;  // of the sum; 0 takes none
};

// Weighted rendezvous hashing (Schindelhauer and Schomaker, "Weighted distributed hash tables", SPAA 2005):
// the pool with the least -ln(u) / weight wins, u drawn by xxHash from the customer and the pool's name. When
// weights change, a customer moves only to a pool whose part of the sum has grown.
std::size_t choose_share(std::string_view customer, const std::vector<Share>& shares);

}  // namespace cranemux::routing
