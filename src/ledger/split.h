// The split of a customer's D among the gatekeepers that hold requests of it, at its keeper. Free of I/O.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <random>
#include <vector>

#include "ledger/ledger.h"

namespace cranemux::ledger {

constexpr double kWeightScale = 100;  // T*V/K is this many times the largest request
constexpr double kWeightSteps = 16;   // weights travel in steps of 1/16

// Of one held request.
inline double request_weight(double units, double most_units) {
  return std::max(0.0, std::log10(kWeightScale * most_units / std::max(units, 1e-9)));
}

// Of places that cannot be told of in time: one at least, and the first of the set have what is left over.
inline int even_share(int whole, int place, int spread) {
  return std::max(1, (whole + spread - 1 - place) / spread);
}

struct SplitOptions {
  double most_units = 1;  // of one request
  int open_limit = 0;     // > 0: places of attempts out at once are split, not units
  int requester = -1;     // whose question this answers; -1: nobody's
};

constexpr Time kPlaceHolds = std::chrono::seconds(1);  // a told attempt that is out stands for this long
constexpr double kRounding = 1e-6;  // units: what filled in parts may fall short of a whole one by so much

// By weight, rounded up to whole requests; what that gives too much is taken off again, one request each from
// the lowest draws. Who has most likely refused by now what it held gets nothing: its credit would lie there
// until it asks again. Raises the limits of those that get something, and names them.
inline std::vector<int> split(Ledger& ledger, const SplitOptions& terms, Time now, std::mt19937_64& random) {
  struct Share {
    std::uint64_t draw;
    int gatekeeper;
    double step, units;
  };
  std::vector<Share> shares;
  const bool places = terms.open_limit > 0;
  double weights = 0, given = 0, d = places ? terms.open_limit : std::floor(ledger.tokens + kRounding);
  for (auto at = ledger.claims.begin(); places && at != ledger.claims.end(); ++at) {
    if (now - at->second.updated_at < kPlaceHolds) d -= static_cast<double>(at->second.limit);
  }
  if (terms.requester >= 0) ledger.update_shortfall(terms.requester);
  // A ledger has hundreds of claims, and few that lack anything.
  for (auto at = ledger.gatekeepers_short.begin(); at != ledger.gatekeepers_short.end();) {
    const int gatekeeper = *at;
    const auto& claim = ledger.claims.at(gatekeeper);
    if (gatekeeper != terms.requester && now > claim.held_until) {
      at = ledger.gatekeepers_short.erase(at);  // until it asks again
      continue;
    }
    ++at;
    weights += claim.weight;
    const double lacks = claim.shortfall();
    shares.push_back({random(), gatekeeper, places ? 1 : std::min(lacks, terms.most_units), lacks});
  }
  for (auto& share : shares) {
    const double part = d * ledger.claims.at(share.gatekeeper).weight / std::max(weights, 1e-9);
    share.units = std::max(0.0, std::min(share.units, std::ceil(part / share.step) * share.step));
    given += share.units;
  }
  std::sort(shares.begin(), shares.end(), [](const auto& a, const auto& b) { return a.draw < b.draw; });
  std::vector<int> out;
  for (auto& share : shares) {
    const double off = given > d ? std::min(share.step, share.units) : 0;
    share.units -= off;
    given -= off;
    if (share.units <= 0) continue;
    ledger.claims.at(share.gatekeeper).limit += std::llround(share.units);
    if (!places) ledger.take(share.units);
    ledger.update_shortfall(share.gatekeeper);
    out.push_back(share.gatekeeper);
  }
  return out;
}

}  // namespace cranemux::ledger
