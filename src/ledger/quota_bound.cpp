#include "ledger/quota_bound.h"

#include <algorithm>
#include <cmath>

#include "ledger/ledger.h"

namespace cranemux::ledger {

double Bound::share(const Plan& plan, Time window) const {
  return units / std::max(1e-9, plan.burst + units_in(plan.rate, window));
}

namespace {

// Names and formulas of terms are values of `quota-bound --json`, which scripts read: they keep their
// wording. In them a keeper is a quota leader, a part a fallback share, and a credit a lease.

Bound guarded(const Tier& tier, const Plan& plan) {
  Bound out;
  const auto timings = heartbeat_timings(tier.gatekeepers, tier.messages_per_s);
  const int n = tier.gatekeepers;
  // Units granted within one lease time before the window may be used in it.
  out.terms.push_back(
      {"grants made before the window", "rate × credit life", units_in(plan.rate, kGuardedLeaseTime)});
  if (n > 1) {
    // A gatekeeper on its fallback share learns late that a leader counts its vote again. While a leader
    // exists, fewer than half of the tier can be in that state at once.
    const auto overlap = kRefusalTime + 2 * tier.delay;
    const int minority = (n - 1) / 2;
    out.terms.push_back({"parts that a keeper fills again already",
                         "(n-1)/2 × rate / n × (refusal holds + 2 × delay)",
                         minority * units_in(plan.rate / n, overlap)});
    const double lost = plan.burst;
    out.lost.push_back(
        {"a keeper that ends without handing over", "burst at most, filled again in burst / rate", lost});
    out.lost.push_back({"until another keeper has the right", "rate × (silence + 2 × quiet)",
                        units_in(plan.rate, timings.failure_timeout + 2 * timings.vote_pause)});
    out.lost.push_back({"of a gatekeeper that ends", "its grants not used: rate × credit life",
                        units_in(plan.rate, kGuardedLeaseTime)});
    out.lost.push_back(
        {"a smaller side of a split, beyond its part", "(1 - side / n) of the rate while it lasts", 0});
  }
  return out;
}

// Trusting quotas prefer to admit: each failure may grant again what it loses.
Bound trusting(const Tier& tier, const Plan& plan) {
  Bound out;
  const int n = tier.gatekeepers;
  out.terms.push_back(
      {"shares rounded up to whole requests", "n × the largest request", n * plan.most_units});
  // Also with a single gatekeeper. Each restart may be of the customer's leader, so counting only a share of
  // the restarts would be no bound.
  if (tier.restarts_per_minute > 0)
    out.terms.push_back({"a keeper that has forgotten", "burst for each restart in a window of 1 min",
                         plan.burst * tier.restarts_per_minute});
  if (n == 1) return out;
  out.terms.push_back(
      {"even shares while a keeper is asked", "burst, once for a set new to the customer", plan.burst});
  out.terms.push_back({"borrowed while an answer is due",
                       "4 × burst, or n × burst if that is less: each its next share, once a word",
                       plan.burst * std::min(4, n)});
  out.terms.push_back({"stale grants", "rate × 0.5 s", units_in(plan.rate, std::chrono::milliseconds(500))});
  if (tier.splits_per_minute > 0)
    out.terms.push_back({"two sides of a split", "rate × 10 s + burst each",
                         tier.splits_per_minute * (plan.burst + 10 * plan.rate)});
  return out;
}

}  // namespace

Bound compute_bound(const Tier& tier, const Plan& plan) {
  auto out = tier.guarded ? guarded(tier, plan) : trusting(tier, plan);
  for (const auto& term : out.terms) out.units += term.units;
  return out;
}

}  // namespace cranemux::ledger
