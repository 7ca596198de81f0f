// Converts between lease requests on the wire (messages.h) and the state that they come from (Account) and go
// to (Demand). Free of I/O.
#pragma once

#include <algorithm>
#include <cmath>
#include <utility>

#include "ledger/account.h"
#include "ledger/ledger.h"
#include "ledger/split.h"
#include "ledger/transport.h"
#include "ledger/wire_encoding.h"

namespace cranemux::ledger {

constexpr Time kHoldStep = std::chrono::milliseconds(10);  // resolution of LeaseRequest::hold
constexpr std::int64_t kMaxHoldSteps = 1000;

constexpr std::uint64_t kSheddingLevel = 25;  // hundredths: the level that LoadShedder aims at
// Values of LeaseRequest::report. A report needs no answer; one that is sent while requests are shed has the
// admitted share, in hundredths, added.
constexpr std::uint64_t kAnswerWanted = 0, kReport = 1, kSheddingReport = 2;

// Reads a lease request of a sender of generation `generation`. Values beyond what a gatekeeper sends are
// clamped.
inline Demand read_demand(const LeaseRequest& request, std::uint32_t generation, bool guarded) {
  const auto clamped = [](std::uint64_t value) {
    return static_cast<std::int64_t>(std::min(value, kMaxFieldValue));
  };
  const auto number = static_cast<std::uint32_t>(request.number);
  Demand out;
  out.generation = generation;
  (guarded ? out.number : out.leader_epoch) = number;
  out.used = clamped(request.used);
  out.weight = static_cast<double>(clamped(request.weight));
  out.wanted = clamped(request.wanted);
  out.hold = kHoldStep * std::min(clamped(request.hold), kMaxHoldSteps);
  out.overspent = std::min(out.used, clamped(request.owed));
  out.report = !guarded && request.report > 0;
  if (out.report && request.report >= kSheddingReport)
    out.share = static_cast<int>(std::min<std::uint64_t>(request.report - kSheddingReport, kWholeShare));
  if (out.report) out.units_shed = static_cast<double>(std::exchange(out.wanted, 0));
  return out;
}

// Writes the lease request of an account or, with `report`, a report that needs no answer. `plan`: the plan's
// index in the settings. Counts as sent: numbers the request of a guarded quota, and clears what is due to be
// reported.
inline Entry make_lease_request(Account& account, std::uint32_t plan, bool guarded, bool report, Time now) {
  const auto rounded = [](double value) { return static_cast<std::uint64_t>(std::llround(value)); };
  const bool counts_attempts = account.plan->rate <= 0;
  const auto used = counts_attempts ? account.open_attempts : account.used_units;
  const auto wanted = rounded(report            ? account.optimistic_lease.units_shed()
                              : counts_attempts ? account.held_requests
                                                : account.held_units);
  const auto number = guarded
                          ? account.guarded_quota.lease.request(used, static_cast<std::int64_t>(wanted), now)
                          : account.leader_epoch;
  const auto hold = std::max<Nanos>(0, account.hold_until - now.count()) / kHoldStep.count();
  const auto owed =
      counts_attempts || guarded ? 0 : std::max<std::int64_t>(0, account.used_units - account.limit);
  const bool shedding = account.optimistic_lease.shedding(now);
  const auto kind = !report ? kAnswerWanted
                    : shedding
                        ? kSheddingReport + rounded(kWholeShare * account.optimistic_lease.admitted_share())
                        : kReport;
  // While requests are shed no answers report the bucket's level. A low one is sent, which a leader without
  // this ledger then starts from.
  const std::uint64_t max_level = shedding ? kSheddingLevel : kWholeShare;
  // The level of a shard that has not answered last is unknown.
  const bool known = account.shards == 1 || account.shard == account.last_answered_shard;
  const auto level =
      std::min(known ? encode_level(account.plan->burst, account.tokens) : kWholeShare, max_level);
  account.optimistic_lease.reported();
  if (report) account.limit = std::max(account.limit, account.used_units);
  LeaseRequest request;
  request.used = static_cast<std::uint64_t>(used);
  request.level = level;
  request.weight = rounded(account.held_weight * kWeightSteps);
  request.wanted = wanted;
  request.number = number;
  request.hold = static_cast<std::uint64_t>(hold);
  request.shards = static_cast<std::uint64_t>(account.shards);
  request.owed = static_cast<std::uint64_t>(owed);
  request.report = kind;
  return {plan, account.hash, request};
}

}  // namespace cranemux::ledger
