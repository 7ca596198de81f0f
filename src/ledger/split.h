// Splits the tokens of a customer's ledger, at its leader, among the gatekeepers that hold requests of the
// customer. Free of I/O.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <random>
#include <vector>

#include "ledger/ledger.h"

namespace cranemux::ledger {

constexpr double kWeightScale = 100;  // T*V/K of the paper is this many times the largest request
constexpr double kWeightSteps = 16;   // weights are sent in steps of 1/16

// Returns the weight of one held request of `units`, where the largest request has `most_units`.
inline double request_weight(double units, double most_units) {
  return std::max(0.0, std::log10(kWeightScale * most_units / std::max(units, 1e-9)));
}

// Returns the even share of the gatekeeper at `place` among `spread` gatekeepers, in a `whole` that they
// cannot report on in time: one at least; the first places have what is left over.
inline int even_share(int whole, int place, int spread) {
  return std::max(1, (whole + spread - 1 - place) / spread);
}

struct SplitOptions {
  double most_units = 1;  // of one request
  int open_limit = 0;     // above 0: open attempts are split, not units
  int requester = -1;     // the gatekeeper whose request is answered; -1: none
};

constexpr Time kAttemptReportValidity =
    std::chrono::seconds(1);        // for so long a reported open attempt counts
constexpr double kRounding = 1e-6;  // units: refills in small steps may fall short of a whole unit by so much

// Splits by weight, rounded up to whole requests; what exceeds the tokens is taken off again, one request
// each from the lowest draws. A gatekeeper that has most likely refused its held requests by now gets
// nothing, since the grant would be idle until its next request. Raises the limits of the gatekeepers that
// get something, and returns them.
inline std::vector<int> split(Ledger& ledger, const SplitOptions& options, Time now,
                              std::mt19937_64& random) {
  struct Share {
    std::uint64_t draw;
    int gatekeeper;
    double step, units;
  };
  std::vector<Share> shares;
  const bool attempts = options.open_limit > 0;
  double weights = 0, granted = 0,
         available = attempts ? options.open_limit : std::floor(ledger.tokens + kRounding);
  for (auto at = ledger.claims.begin(); attempts && at != ledger.claims.end(); ++at) {
    if (now - at->second.updated_at < kAttemptReportValidity)
      available -= static_cast<double>(at->second.limit);
  }
  if (options.requester >= 0) ledger.update_shortfall(options.requester);
  // A ledger has hundreds of claims, and few with a shortfall.
  for (auto at = ledger.gatekeepers_short.begin(); at != ledger.gatekeepers_short.end();) {
    const int gatekeeper = *at;
    const auto& claim = ledger.claims.at(gatekeeper);
    if (gatekeeper != options.requester && now > claim.held_until) {
      at = ledger.gatekeepers_short.erase(at);  // until its next request
      continue;
    }
    ++at;
    weights += claim.weight;
    const double shortfall = claim.shortfall();
    shares.push_back(
        {random(), gatekeeper, attempts ? 1 : std::min(shortfall, options.most_units), shortfall});
  }
  for (auto& share : shares) {
    const double by_weight = available * ledger.claims.at(share.gatekeeper).weight / std::max(weights, 1e-9);
    share.units = std::max(0.0, std::min(share.units, std::ceil(by_weight / share.step) * share.step));
    granted += share.units;
  }
  std::sort(shares.begin(), shares.end(), [](const auto& a, const auto& b) { return a.draw < b.draw; });
  std::vector<int> out;
  for (auto& share : shares) {
    const double excess = granted > available ? std::min(share.step, share.units) : 0;
    share.units -= excess;
    granted -= excess;
    if (share.units <= 0) continue;
    ledger.claims.at(share.gatekeeper).limit += std::llround(share.units);
    if (!attempts) ledger.take(share.units);
    ledger.update_shortfall(share.gatekeeper);
    out.push_back(share.gatekeeper);
  }
  return out;
}

}  // namespace cranemux::ledger
