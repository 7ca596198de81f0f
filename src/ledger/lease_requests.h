// What an ask says, from the mail's figures.
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

constexpr Time kHoldStep = std::chrono::milliseconds(10);  // on the wire
constexpr std::uint64_t kMostFigure = 1'000'000'000;

constexpr std::uint64_t kPressedLevel = 25;  // hundredths, as LoadShedder keeps it
// The last figure of a question or report.
constexpr std::uint64_t kQuestion = 0, kReport = 1, kThrottledReport = 2;  // and the share in hundredths

// `life`: of the sender. Figures that no gatekeeper sends are cut to what it might.
inline Demand ask_of(const LeaseRequest& request, std::uint32_t life, bool guarded) {
  const auto figure = [](std::uint64_t told) {
    return static_cast<std::int64_t>(std::min(told, kMostFigure));
  };
  const auto number = static_cast<std::uint32_t>(request.number);
  Demand out;
  out.generation = life;
  (guarded ? out.number : out.leader_epoch) = number;
  out.used = figure(request.used);
  out.weight = static_cast<double>(figure(request.weight));
  out.wanted = figure(request.wanted);
  out.hold = kHoldStep * std::min<std::int64_t>(figure(request.hold), 1000);
  out.overspent = std::min(out.used, figure(request.owed));
  out.report = !guarded && request.report > 0;
  if (out.report && request.report >= kThrottledReport)
    out.share = static_cast<int>(std::min<std::uint64_t>(request.report - kThrottledReport, kWholeShare));
  if (out.report) out.units_shed = static_cast<double>(std::exchange(out.wanted, 0));
  return out;
}

// The same from what is known of an account: a question, or a report where nobody waits for an answer.
// `plan`: its number in the settings.
inline Entry entry_of(Account& a, std::uint32_t plan, bool guarded, bool report, Time now) {
  const auto whole = [](double figure) { return static_cast<std::uint64_t>(std::llround(figure)); };
  const bool places = a.plan->rate <= 0;
  const auto used = places ? a.open_attempts : a.used_units;
  const auto wanted = whole(report   ? a.optimistic_lease.units_shed()
                            : places ? a.held_requests
                                     : a.held_units);
  const auto number =
      guarded ? a.guarded_quota.lease.request(used, static_cast<std::int64_t>(wanted), now) : a.leader_epoch;
  const auto hold = std::max<Nanos>(0, a.hold_until - now.count()) / kHoldStep.count();
  const auto owed = places || guarded ? 0 : std::max<std::int64_t>(0, a.used_units - a.limit);
  const bool throttled = a.optimistic_lease.shedding(now);
  const auto last = !report     ? kQuestion
                    : throttled ? kThrottledReport + whole(kWholeShare * a.optimistic_lease.admitted_share())
                                : kReport;
  // Nobody has told the level of a store that presses: a keeper that knows nothing takes it for low.
  const std::uint64_t most = throttled ? kPressedLevel : kWholeShare;
  // Of another part's store nothing is known.
  const bool known = a.shards == 1 || a.shard == a.last_answered_shard;
  const auto level = std::min(known ? encode_level(a.plan->burst, a.tokens) : kWholeShare, most);
  a.optimistic_lease.reported();
  if (report) a.limit = std::max(a.limit, a.used_units);
  LeaseRequest request;
  request.used = static_cast<std::uint64_t>(used);
  request.level = level;
  request.weight = whole(a.held_weight * kWeightSteps);
  request.wanted = wanted;
  request.number = number;
  request.hold = static_cast<std::uint64_t>(hold);
  request.shards = static_cast<std::uint64_t>(a.shards);
  request.owed = static_cast<std::uint64_t>(owed);
  request.report = last;
  return {plan, a.hash, request};
}

}  // namespace cranemux::ledger
