// The ledger of one customer's quota at its leader: a token bucket that fills at the plan's rate, and one
// claim for each gatekeeper that has reported use. Reports carry totals of a gatekeeper's generation, so a
// message that is lost, repeated or late is counted once. Units are the plan's. Free of I/O.
//
// Trusting quotas: use beyond a grant is forgiven past `debt`, since units beyond a quota take nothing from
// the bucket there. Guarded quotas: requests of a gatekeeper count in their order only, and all overuse is
// paid back.
#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <vector>

#include "ledger/incremental_erase.h"
#include "ledger/leader_election.h"
#include "ledger/optimistic_lease.h"
#include "ledger/quota_bound.h"
#include "ledger/request_pacing.h"

namespace cranemux::ledger {

// Returns the units that flow at `rate` (units a second) during `span`.
inline double units_in(double rate, Time span) { return rate * static_cast<double>(span.count()) / 1e9; }

// What one gatekeeper reports about a customer, and what it requests.
struct Demand {
  std::uint32_t generation = 0;    // of the gatekeeper
  std::uint32_t number = 0;        // counts its requests about this customer; 0 where they are not ordered
  std::int64_t used = 0;           // units in this generation
  double weight = 0;               // of its held requests
  std::int64_t wanted = 0;         // units for its held requests
  std::uint32_t leader_epoch = 0;  // counts its changes of leader; 0 where a customer has one leader only
  std::int64_t overspent = 0;      // of `used`: units beyond the grants of its last leader
  Time hold{0};                    // after this time without a lease it refuses its held requests
  bool report = false;             // no answer is expected
  int share = kWholeShare;  // in a report: hundredths of requests that it admits, by its last ShedNotice
  double units_shed = 0;    // in a report: units that it refused by that share since the report before
};

// What a leader knows of one gatekeeper's use.
struct Claim {
  std::uint32_t generation = 0, number = 0, leader_epoch = 0;  // of the last demand that was merged
  std::int64_t limit = 0;  // units that it may use in its whole generation, or attempts that it may have open
  std::int64_t used = 0;   // as last reported
  double weight = 0, wanted = 0;
  Time updated_at{0}, held_until{0};
  // Returns the wanted units that its limit does not cover.
  double shortfall() const { return wanted - static_cast<double>(limit - used); }
};

// By this time every gatekeeper that sheds load by a share has turned to a new leader.
constexpr Time kShareAdoptionTime = std::chrono::seconds(3);
// A claim is kept so long at least: gatekeepers that hold requests report each subperiod.
constexpr Time kLeastClaimTime = std::chrono::seconds(1);

// A customer's quota record at its leader.
struct Ledger {
  std::uint32_t customer = 0, plan = 0;  // the plan's index in the settings
  double rate = 0, burst = 0;            // of the plan, or of one shard of it; units a second, and units
  double debt = 0;                       // the lowest value of `tokens`; 0 or negative
  double tokens = 0;                     // units left; what is granted has been taken off
  std::uint32_t shards = 1;
  bool sheds_load = false;  // its leader is a dedicated one and sends ShedNotices
  RequestPacing pacing = {};
  LowWatermark low_watermark = {};  // without dedicated leaders
  LoadShedder load_shedder = {};    // with dedicated leaders
  Time refilled_at{0}, opened_at{0}, requested_at{0};
  std::map<int, Claim> claims = {};      // by gatekeeper
  std::set<int> gatekeepers_short = {};  // with a shortfall; may hold some whose requests have expired
  // Transfers that were applied: sender, its generations seen here, number.
  std::set<std::tuple<int, std::uint32_t, std::uint64_t>> applied_transfers = {};

  // Refills the bucket up to `now`. `share`: of rate and burst, where others may give out the rest.
  void fill(Time now, double share = 1) {
    if (tokens < burst * share)
      tokens = std::min(burst * share, tokens + units_in(rate * share, now - refilled_at));
    else
      tokens = std::min(tokens, burst * share);
    refilled_at = now;
  }
  // Returns whether gatekeepers may not spend under an optimistic lease.
  bool below_low_watermark(Time now) const { return low_watermark.below(now) || load_shedder.active(); }
  void take(double units) { tokens = std::clamp(tokens - units, debt, burst); }

  // Returns whether the ledger has all that this gatekeeper has reported about the customer. It has not if
  // the gatekeeper is new, or has meanwhile changed its leader or spent its even share. A new generation of a
  // known gatekeeper knows no more than the ledger does.
  bool has_current_claim(int from, const Demand& demand) const {
    const auto at = claims.find(from);
    return at != claims.end() &&
           (at->second.generation != demand.generation || at->second.leader_epoch >= demand.leader_epoch);
  }
  // Applies a demand: takes what was used beyond the limit, gives back what is no longer wanted. Returns
  // false, and changes nothing, if a later demand of the same generation has been merged.
  bool merge(int from, const Demand& demand, Time now) {
    auto [at, first] = claims.try_emplace(from);
    auto& claim = at->second;
    const bool same_generation = !first && claim.generation == demand.generation;
    if (same_generation && demand.leader_epoch < claim.leader_epoch) return false;
    const bool known = same_generation && demand.leader_epoch == claim.leader_epoch;
    if (known && demand.number != 0 && static_cast<std::int32_t>(demand.number - claim.number) < 0)
      return false;
    const auto newly_used = known ? demand.used - claim.used : demand.overspent;
    if (sheds_load && now - opened_at < kShareAdoptionTime) load_shedder.adopt(demand.share, now);
    if (sheds_load)
      load_shedder.record_demand(
          demand.units_shed + static_cast<double>(std::max<std::int64_t>(0, newly_used)), now);
    // Grants to an earlier generation stay taken: it may have used them.
    if (!known) claim.limit = demand.used - demand.overspent;
    // The unused rest of an expired grant cannot be used any more. It is not given back: the bucket has
    // refilled meanwhile.
    const bool expired = known && demand.number != 0 && now - claim.updated_at > kGuardedLeaseTime;
    if (expired) claim.limit = std::min(claim.limit, demand.used);
    const auto limit = std::max(demand.used, std::min(claim.limit, demand.used + demand.wanted));
    take(static_cast<double>(limit - claim.limit));
    claim = {demand.generation,
             demand.number,
             demand.leader_epoch,
             limit,
             demand.used,
             demand.weight,
             static_cast<double>(demand.wanted),
             now,
             now + demand.hold};
    update_shortfall(from);
    return true;
  }
  // Switches to the plan of `other`. Nothing is gained by it: the tokens left stay, up to the new burst; none
  // stay if one of the two plans limits open attempts, which are not units.
  void change_plan(const Ledger& other, Time now) {
    fill(now);
    const bool units = rate > 0 && other.rate > 0;
    plan = other.plan;
    rate = other.rate;
    burst = other.burst;
    debt = other.debt;
    shards = other.shards;
    tokens = units ? std::min(tokens, burst) : 0;
    low_watermark = {};
    load_shedder = {};
    if (units) return;
    claims.clear();
    gatekeepers_short.clear();
  }
  // Returns the units that are granted and may still be spent, by the last reports. A grant expires
  // kGuardedLeaseTime after the request that it answers.
  double outstanding_units(Time now) const {
    std::int64_t out = 0;
    for (const auto& [gatekeeper, claim] : claims) {
      if (now - claim.updated_at <= kGuardedLeaseTime) out += claim.limit - claim.used;
    }
    return static_cast<double>(out);
  }
  // Updates `gatekeepers_short` after a change of that gatekeeper's claim.
  void update_shortfall(int gatekeeper) {
    const auto at = claims.find(gatekeeper);
    if (at != claims.end() && at->second.shortfall() > 0)
      gatekeepers_short.insert(gatekeeper);
    else
      gatekeepers_short.erase(gatekeeper);
  }
};

// The lease that a gatekeeper holds on a guarded quota; grants may be lost, late or repeated. Between a
// request and its answer it covers no more than the leader keeps granted when it merges the request, whatever
// other grants arrive. A grant expires `lease_time` after its request was sent, so a gatekeeper that has
// stalled resumes without one.
class HeldLease {
 public:
  explicit HeldLease(Time lease_time) : lease_time_(lease_time) {}

  // Records that a request is sent now. Returns its number.
  std::uint32_t request(std::int64_t used, std::int64_t wanted, Time now) {
    if (now >= expires_at_) limit_ = used;  // the leader drops an expired grant, too
    ++number_;
    sent_at_[number_ % kTrackedRequests] = now;
    requested_limit_ = used + wanted;
    limit_ = std::max(used, std::min(limit_, requested_limit_));
    return number_;
  }
  // `number`: of the last request that the leader has merged. Returns false if the grant has expired or
  // answers no request that is still tracked.
  bool apply_grant(std::uint32_t number, std::int64_t limit, Time now) {
    const auto behind = number_ - number;
    if (behind >= kTrackedRequests) return false;
    const auto expires_at = sent_at_[number % kTrackedRequests] + lease_time_;
    if (expires_at <= now) return false;
    limit_ = std::max(limit_, behind == 0 ? limit : std::min(limit, requested_limit_));
    expires_at_ = std::max(expires_at_, expires_at);
    return true;
  }
  bool covers(std::int64_t used, std::int64_t units, Time now) const {
    return now < expires_at_ && used + units <= limit_;
  }
  std::int64_t limit() const { return limit_; }     // units that may be used in the whole generation
  std::uint32_t number() const { return number_; }  // of the last request

 private:
  static constexpr std::uint32_t kTrackedRequests = 16;
  Time lease_time_, expires_at_{-1};
  Time sent_at_[kTrackedRequests] = {};
  std::uint32_t number_ = 0;
  std::int64_t limit_ = 0, requested_limit_ = 0;
};

// A gatekeeper's guaranteed share of a guarded quota, for times when no leader can be reached: a token bucket
// that is empty when it becomes active, refills while it is active only, and is dropped afterwards. `rate`
// and `burst`: of the share.
class FallbackShare {
 public:
  void set_active(bool active, Time now) {
    if (active == active_) return;
    active_ = active;
    tokens_ = 0;
    refilled_at_ = now;
  }
  bool active() const { return active_; }
  double available_tokens(double rate, double burst, Time now) const {
    return active_ ? std::min(burst, tokens_ + units_in(rate, now - refilled_at_)) : 0;
  }
  bool covers(double units, double rate, double burst, Time now) const {
    return active_ && available_tokens(rate, burst, now) >= units;
  }
  void spend(double units, double rate, double burst, Time now) {
    tokens_ = available_tokens(rate, burst, now) - units;
    refilled_at_ = now;
  }

 private:
  bool active_ = false;
  double tokens_ = 0;
  Time refilled_at_{0};
};

// What a gatekeeper may use of one customer's guarded quota: its lease, or its fallback share. `rate` and
// `burst`: of the fallback share.
struct GuardedQuota {
  HeldLease lease{kGuardedLeaseTime};
  FallbackShare fallback_share;
  Time no_leader_until{-1};  // the leader has answered that it has no leadership; counts until then

  bool covers(std::int64_t used, double units, double rate, double burst, Time now) const {
    return lease.covers(used, std::llround(units), now) || fallback_share.covers(units, rate, burst, now);
  }
  // Returns true if the lease covers the units, which are then to be reported as used; false if they are of
  // the fallback share.
  bool spend(std::int64_t used, double units, double rate, double burst, Time now) {
    if (lease.covers(used, std::llround(units), now)) return true;
    fallback_share.spend(units, rate, burst, now);
    return false;
  }
  // The leader has refused request `number` since it has no leadership.
  void refused(std::uint32_t number, Time now) {
    if (number == lease.number()) no_leader_until = now + kRefusalTime;
  }
  // Activates the fallback share while no reachable gatekeeper has leadership, and only then.
  void update_fallback(const LeaderElection& election, std::uint32_t customer, int self, Time now) {
    const bool has_leader =
        election.leader(customer) == self ? election.has_leadership(customer, now) : now >= no_leader_until;
    fallback_share.set_active(election.settled(now) && !has_leader, now);
  }
};

// Tokens of a ledger on their way to its successor: sent several times against loss, applied once.
struct PendingTransfer {
  std::uint32_t customer = 0, plan = 0;
  std::uint64_t level = 0, number = 0;  // level: tokens in hundredths of a unit
  int times_sent = 0;
  Time due{0};
};

// The ledgers that this gatekeeper leads.
class Ledgers {
 public:
  // `election`: null for trusting quotas.
  explicit Ledgers(const LeaderElection* election) : election_(election) {}

  // Returns whether this gatekeeper may act as the customer's leader now.
  bool has_leadership(std::uint32_t customer, Time now) const {
    return !election_ || election_->has_leadership(customer, now);
  }
  // Returns the customer's ledger; opens it if there is none. A new one is full, but empty where quotas are
  // guarded, since another leader may have granted everything.
  Ledger& open(const Ledger& fresh, Time now) {
    auto [at, opened] = all_.try_emplace(fresh.customer, fresh);
    auto& ledger = at->second;
    if (!opened && !election_ && ledger.plan != fresh.plan) ledger.change_plan(fresh, now);
    if (!opened) return ledger;
    ledger.tokens = election_ ? 0 : fresh.burst;
    if (election_) ledger.debt = kUnlimitedDebt;
    ledger.refilled_at = ledger.opened_at = ledger.requested_at = now;
    return ledger;
  }
  // Refills a ledger. Without leadership nothing fills; and the shares of members that do not vote for this
  // gatekeeper are not its to give.
  void fill(Ledger& ledger, Time now) const {
    if (!election_) return ledger.fill(now);
    ledger.refilled_at = std::max(ledger.refilled_at, now - kRefusalTime);  // after a stall
    if (!election_->has_leadership(ledger.customer, now)) {
      ledger.refilled_at = now;
      return;
    }
    const double missing = election_->missing_votes(ledger.customer, now);
    ledger.fill(now, 1.0 - missing / election_->members());
    // Unspent leases are part of the burst, so the bucket does not refill beyond the rest of it.
    ledger.tokens = std::min(ledger.tokens, std::max(0.0, ledger.burst - ledger.outstanding_units(now)));
  }

  std::map<std::uint32_t, Ledger>& all() { return all_; }
  const std::map<std::uint32_t, Ledger>& all() const { return all_; }

  // Erases claims that were not updated for half of `after` (kLeastClaimTime at least), and full ledgers that
  // nobody requested for `after`. Each call covers some of the ledgers.
  void erase_idle(Time now, Time after) {
    erase_some(all_, erase_cursor_, [&](auto& item) {
      auto& ledger = item.second;
      std::erase_if(ledger.claims, [&](const auto& claim) {
        if (now - claim.second.updated_at <= std::max(after / 2, kLeastClaimTime)) return false;
        ledger.gatekeepers_short.erase(claim.first);
        return true;
      });
      return now - ledger.requested_at > after && (ledger.rate <= 0 || ledger.tokens >= ledger.burst);
    });
  }

  // Gives up ledgers that another gatekeeper should lead and queues their tokens for transfer. Ledgers opened
  // within kMinStay stay, since the gatekeeper that transferred them is about to leave. At a planned shutdown
  // all go.
  void start_transfers(int self, bool shutting_down, Time now) {
    for (auto at = all_.begin(); at != all_.end();) {
      auto& ledger = at->second;
      const bool stays = election_->leader(ledger.customer) == self || now - ledger.opened_at < kMinStay;
      if (stays && !shutting_down) {
        ++at;
        continue;
      }
      if (shutting_down) fill(ledger, now);
      const auto level = static_cast<std::uint64_t>(std::max(0.0, ledger.tokens) * kStepsPerUnit);
      if (ledger.rate > 0 && level > 0) {
        transfers_.push_back({ledger.customer, ledger.plan, level, ++transfers_started_, 0, now});
      }
      at = all_.erase(at);
    }
  }
  // Calls `write(successor, transfer)` for each transfer that is due; each is sent kTransferSends times.
  template <typename Write>
  void send_transfers(int self, Time now, const Write& write) {
    for (auto& transfer : transfers_) {
      const int successor = election_->successor(transfer.customer, self);
      if (now < transfer.due || successor < 0) continue;
      write(successor, transfer);
      ++transfer.times_sent;
      transfer.due = now + kTransferInterval;
    }
    std::erase_if(transfers_, [](const PendingTransfer& t) { return t.times_sent >= kTransferSends; });
  }
  bool has_transfers() const { return !transfers_.empty(); }
  std::uint64_t transfers_started() const { return transfers_started_; }
  std::uint64_t transfers_received() const { return transfers_received_; }
  // Adds transferred tokens. `epoch`: the sender's generations seen here; `level`: in hundredths of a unit.
  // Returns false if this transfer was applied before.
  bool receive_transfer(Ledger& ledger, int from, std::uint32_t epoch, std::uint64_t level,
                        std::uint64_t number, Time now) {
    if (!ledger.applied_transfers.insert({from, epoch, number}).second) return false;
    fill(ledger, now);
    ++transfers_received_;
    ledger.tokens = std::min(ledger.burst, ledger.tokens + static_cast<double>(level) / kStepsPerUnit);
    return true;
  }

 private:
  static constexpr double kUnlimitedDebt = -1e9, kStepsPerUnit = 100;
  static constexpr int kTransferSends = 3;
  static constexpr Time kMinStay = std::chrono::seconds(3);
  static constexpr Time kTransferInterval = std::chrono::milliseconds(60);
  const LeaderElection* election_;
  std::map<std::uint32_t, Ledger> all_;
  std::uint32_t erase_cursor_ = 0;
  std::vector<PendingTransfer> transfers_;
  std::uint64_t transfers_started_ = 0, transfers_received_ = 0;
};

}  // namespace cranemux::ledger
