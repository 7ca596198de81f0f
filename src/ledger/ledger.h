// What is left of a customer's quota, at its keeper: a store that fills at the plan's rate, and what each
// gatekeeper of the tier has told and may use, by its life. Figures are totals of a life, so whatever is
// lost, repeated or late counts once. Free of I/O; units are the plan's.
//
// Two ways. Trusting, as on the platform: what was used beyond a grant is forgiven past `debt`, since what
// goes beyond a quota takes nothing from the store there. Guarded: asks count in their order only, and all is
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

inline double units_in(double rate, Time span) { return rate * static_cast<double>(span.count()) / 1e9; }

struct Demand {
  std::uint32_t generation = 0;  // of the gatekeeper that asks
  std::uint32_t number = 0;      // of its asks about this customer, counted up; 0 where they are not ordered
  std::int64_t used = 0;         // in that life
  double weight = 0;             // of what it holds
  std::int64_t wanted = 0;       // by what it holds
  std::uint32_t leader_epoch =
      0;                       // of the gatekeeper's changes of keeper in that life; 0 where it has one only
  std::int64_t overspent = 0;  // of `used`: beyond what its last keeper had granted
  Time hold{0};                // what it holds without a credit is refused after so long
  bool report = false;         // nobody waits for an answer
  int share = kWholeShare;     // of reports: that who sends it goes by, by a word of a keeper
  double units_shed = 0;       // units, since the last report, by that word
};

struct Claim {  // what a keeper knows of one gatekeeper's part in a ledger
  std::uint32_t generation = 0, number = 0, leader_epoch = 0;
  std::int64_t limit = 0;  // units that it may have used in all that life, or attempts out at once
  std::int64_t used = 0;   // as last told
  double weight = 0, wanted = 0;
  Time updated_at{0}, held_until{0};
  double shortfall() const { return wanted - static_cast<double>(limit - used); }
};

constexpr Time kAdopts =
    std::chrono::seconds(3);  // so long all who keep to a share may take to turn to a new keeper

struct Ledger {
  std::uint32_t customer = 0, plan = 0;  // the plan's number in the settings
  double rate = 0, burst = 0;            // of the plan, or of one of equal parts of it
  double debt = 0;                       // how far below nothing the level may go; 0 or less
  double tokens = 0;                     // less what is granted
  std::uint32_t shards = 1;
  bool sheds_load = false;  // its keeper is set aside and tells all who is throttled
  RequestPacing pacing = {};
  LowWatermark low_watermark = {};  // where no members are set aside; there:
  LoadShedder load_shedder = {};
  Time refilled_at{0}, opened_at{0}, requested_at{0};
  std::map<int, Claim> claims = {};      // by gatekeeper
  std::set<int> gatekeepers_short = {};  // of them: those that may wait for more than they have
  std::set<std::tuple<int, std::uint32_t, std::uint64_t>> hands =
      {};  // taken over: from whom, its epoch, the number

  // `part`: of the store, where the rest is others' to give.
  void fill(Time now, double part = 1) {
    if (tokens < burst * part)
      tokens = std::min(burst * part, tokens + units_in(rate * part, now - refilled_at));
    else
      tokens = std::min(tokens, burst * part);
    refilled_at = now;
  }
  bool below_low_watermark(Time now) const { return low_watermark.below(now) || load_shedder.active(); }
  void take(double units) { tokens = std::clamp(tokens - units, debt, burst); }

  // Has it heard all that this gatekeeper has asked about the customer? Not so where the gatekeeper is new,
  // or has turned to another keeper or spent its even share meanwhile. A new life of it knows no more than
  // this ledger does.
  bool has_current_claim(int from, const Demand& ask) const {
    const auto at = claims.find(from);
    return at != claims.end() &&
           (at->second.generation != ask.generation || at->second.leader_epoch >= ask.leader_epoch);
  }
  // What an ask changes: what was used beyond its limit is taken, what is no longer wanted comes back. False:
  // it was overtaken by a later one of the same life, and changes nothing.
  bool merge(int from, const Demand& ask, Time now) {
    auto [at, first] = claims.try_emplace(from);
    auto& claim = at->second;
    const bool lives = !first && claim.generation == ask.generation;
    if (lives && ask.leader_epoch < claim.leader_epoch) return false;
    const bool known = lives && ask.leader_epoch == claim.leader_epoch;
    if (known && ask.number != 0 && static_cast<std::int32_t>(ask.number - claim.number) < 0) return false;
    const auto more = known ? ask.used - claim.used : ask.overspent;
    if (sheds_load && now - opened_at < kAdopts) load_shedder.adopt(ask.share, now);
    if (sheds_load)
      load_shedder.record_demand(ask.units_shed + static_cast<double>(std::max<std::int64_t>(0, more)), now);
    // What an earlier life may still have used stays taken: nobody can say that it has not.
    if (!known) claim.limit = ask.used - ask.overspent;
    // Nor can what a grant that has lapsed left unused be used any more. It is not given back: the store has
    // filled beside it.
    const bool lapsed = known && ask.number != 0 && now - claim.updated_at > kGuardedLeaseTime;
    if (lapsed) claim.limit = std::min(claim.limit, ask.used);
    const auto limit = std::max(ask.used, std::min(claim.limit, ask.used + ask.wanted));
    take(static_cast<double>(limit - claim.limit));
    claim = {ask.generation,
             ask.number,
             ask.leader_epoch,
             limit,
             ask.used,
             ask.weight,
             static_cast<double>(ask.wanted),
             now,
             now + ask.hold};
    update_shortfall(from);
    return true;
  }
  // Its customer names another plan. Nothing is won by it: what is left stays, up to the new store; none
  // where one of both bounds attempts, which are no units.
  void go_by(const Ledger& other, Time now) {
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
  // Units that are granted and may still be spent, as far as was told: a grant ends with the ask that it
  // answers.
  double granted(Time now) const {
    std::int64_t out = 0;
    for (const auto& [gatekeeper, claim] : claims) {
      if (now - claim.updated_at <= kGuardedLeaseTime) out += claim.limit - claim.used;
    }
    return static_cast<double>(out);
  }
  // Whether that gatekeeper lacks something has changed, or may have.
  void update_shortfall(int gatekeeper) {
    const auto at = claims.find(gatekeeper);
    if (at != claims.end() && at->second.shortfall() > 0)
      gatekeepers_short.insert(gatekeeper);
    else
      gatekeepers_short.erase(gatekeeper);
  }
};

// The asking side of a guarded quota: what this gatekeeper may use, by grants that may be lost, late or
// repeated. Between an ask and its answer it uses no more than the keeper will let stand, whatever it is
// granted meanwhile; and no grant outlives the ask that it answers by more than `life`, so a stalled
// gatekeeper returns with none.
class HeldLease {
 public:
  explicit HeldLease(Time life) : life_(life) {}

  // An ask leaves: returns its number.
  std::uint32_t request(std::int64_t used, std::int64_t wanted, Time now) {
    if (now >= until_) limit_ = used;  // lapsed: the keeper counts it no more
    ++number_;
    sent_[number_ % kKept] = now;
    stands_ = used + wanted;
    limit_ = std::max(used, std::min(limit_, stands_));
    return number_;
  }
  // `number`: of the ask that the keeper has seen last. False: nothing could be made of it.
  bool apply_grant(std::uint32_t number, std::int64_t limit, Time now) {
    const auto behind = number_ - number;
    if (behind >= kKept) return false;
    const auto until = sent_[number % kKept] + life_;
    if (until <= now) return false;
    limit_ = std::max(limit_, behind == 0 ? limit : std::min(limit, stands_));
    until_ = std::max(until_, until);
    return true;
  }
  bool covers(std::int64_t used, std::int64_t units, Time now) const {
    return now < until_ && used + units <= limit_;
  }
  std::int64_t limit() const { return limit_; }
  std::uint32_t number() const { return number_; }

 private:
  static constexpr std::uint32_t kKept = 16;
  Time life_, until_{-1};
  Time sent_[kKept] = {};
  std::uint32_t number_ = 0;
  std::int64_t limit_ = 0, stands_ = 0;
};

// A gatekeeper's guaranteed part: what it may use while no keeper with the right can be reached. It is empty
// at first, fills while it is on only, and is dropped when a keeper is there again.
class FallbackShare {
 public:
  void set_active(bool on, Time now) {
    if (on == on_) return;
    on_ = on;
    level_ = 0;
    filled_ = now;
  }
  bool active() const { return on_; }
  double available_tokens(double rate, double burst, Time now) const {
    return on_ ? std::min(burst, level_ + units_in(rate, now - filled_)) : 0;
  }
  bool covers(double units, double rate, double burst, Time now) const {
    return on_ && available_tokens(rate, burst, now) >= units;
  }
  void spend(double units, double rate, double burst, Time now) {
    level_ = available_tokens(rate, burst, now) - units;
    filled_ = now;
  }

 private:
  bool on_ = false;
  double level_ = 0;
  Time filled_{0};
};

// What a gatekeeper may use of one customer's guarded quota: by grants, or of its part. `rate` and `burst`
// are the part's.
struct GuardedQuota {
  HeldLease lease{kGuardedLeaseTime};
  FallbackShare fallback_share;
  Time no_leader_until{-1};  // its keeper has said that it has no right

  bool covers(std::int64_t used, double units, double rate, double burst, Time now) const {
    return lease.covers(used, std::llround(units), now) || fallback_share.covers(units, rate, burst, now);
  }
  // True: by a grant, and so to be told as used; false: of the part.
  bool spend(std::int64_t used, double units, double rate, double burst, Time now) {
    if (lease.covers(used, std::llround(units), now)) return true;
    fallback_share.spend(units, rate, burst, now);
    return false;
  }
  void refused(std::uint32_t number, Time now) {
    if (number == lease.number()) no_leader_until = now + kRefusalTime;
  }
  // The part is on while nobody who is reached has the right.
  void update_fallback(const LeaderElection& rights, std::uint32_t customer, int self, Time now) {
    const bool kept =
        rights.leader(customer) == self ? rights.has_leadership(customer, now) : now >= no_leader_until;
    fallback_share.set_active(rights.settled(now) && !kept, now);
  }
};

// A ledger's level on its way to its keeper: told some times against loss, and taken once.
struct PendingTransfer {
  std::uint32_t customer = 0, plan = 0;
  std::uint64_t level = 0, number = 0;  // the level in hundredths of a unit
  int times = 0;
  Time due{0};
};

// The ledgers that this gatekeeper keeps.
class Ledgers {
 public:
  // `rights`: none where quotas are not guarded.
  explicit Ledgers(const LeaderElection* rights) : rights_(rights) {}

  // May it keep that customer's, now?
  bool has_leadership(std::uint32_t customer, Time now) const {
    return !rights_ || rights_->has_leadership(customer, now);
  }
  // Opens it where there is none: full, or empty where quotas are guarded, since another may have given all.
  Ledger& open(const Ledger& fresh, Time now) {
    auto [at, made] = all_.try_emplace(fresh.customer, fresh);
    auto& ledger = at->second;
    if (!made && !rights_ && ledger.plan != fresh.plan) ledger.go_by(fresh, now);
    if (!made) return ledger;
    ledger.tokens = rights_ ? 0 : fresh.burst;
    if (rights_) ledger.debt = kAllPaidBack;
    ledger.refilled_at = ledger.opened_at = ledger.requested_at = now;
    return ledger;
  }
  // Without the right nothing fills; and what others do not vote this keeper for is theirs to fill.
  void fill(Ledger& ledger, Time now) const {
    if (!rights_) return ledger.fill(now);
    ledger.refilled_at = std::max(ledger.refilled_at, now - kRefusalTime);  // as after a stall
    if (!rights_->has_leadership(ledger.customer, now)) {
      ledger.refilled_at = now;
      return;
    }
    const double missing = rights_->missing_votes(ledger.customer, now);
    ledger.fill(now, 1.0 - missing / rights_->members());
    // Credits that wait to be spent are still of the burst: it does not fill again beside them.
    ledger.tokens = std::min(ledger.tokens, std::max(0.0, ledger.burst - ledger.granted(now)));
  }

  std::map<std::uint32_t, Ledger>& all() { return all_; }
  const std::map<std::uint32_t, Ledger>& all() const { return all_; }

  // Claims that nothing was heard of for half of `after` go, and full ledgers that nobody asked about for so
  // long; a part of all ledgers at each call.
  void erase_idle(Time now, Time after) {
    erase_some(all_, swept_, [&](auto& item) {
      auto& ledger = item.second;
      std::erase_if(ledger.claims, [&](const auto& c) {
        if (now - c.second.updated_at <= after / 2) return false;
        ledger.gatekeepers_short.erase(c.first);
        return true;
      });
      return now - ledger.requested_at > after && (ledger.rate <= 0 || ledger.tokens >= ledger.burst);
    });
  }

  // Ledgers whose keeper is another leave this one, but for those that have only just come to it, since who
  // gave them will be gone. At a planned end all do.
  void start_transfers(int self, bool ends, Time now) {
    for (auto at = all_.begin(); at != all_.end();) {
      auto& ledger = at->second;
      const bool stays = rights_->leader(ledger.customer) == self || now - ledger.opened_at < kStays;
      if (stays && !ends) {
        ++at;
        continue;
      }
      if (ends) fill(ledger, now);
      const auto tokens = static_cast<std::uint64_t>(std::max(0.0, ledger.tokens) * kHandSteps);
      if (ledger.rate > 0 && tokens > 0) {
        hands_.push_back({ledger.customer, ledger.plan, tokens, ++handed_, 0, now});
      }
      at = all_.erase(at);
    }
  }
  // What is due is written; three times each.
  template <typename Write>
  void send_transfers(int self, Time now, const Write& write) {
    for (auto& h : hands_) {
      const int keeper = rights_->successor(h.customer, self);
      if (now < h.due || keeper < 0) continue;
      write(keeper, h);
      ++h.times;
      h.due = now + kHandAgain;
    }
    std::erase_if(hands_, [](const PendingTransfer& h) { return h.times >= kHandTimes; });
  }
  bool has_transfers() const { return !hands_.empty(); }
  std::uint64_t transfers_started() const { return handed_; }
  std::uint64_t transfers_received() const { return taken_; }
  // True: it was taken for the first time.
  bool receive_transfer(Ledger& ledger, int from, std::uint32_t epoch, std::uint64_t tokens,
                        std::uint64_t number, Time now) {
    if (!ledger.hands.insert({from, epoch, number}).second) return false;
    fill(ledger, now);
    ++taken_;
    ledger.tokens = std::min(ledger.burst, ledger.tokens + static_cast<double>(tokens) / kHandSteps);
    return true;
  }

 private:
  static constexpr double kAllPaidBack = -1e9, kHandSteps = 100;
  static constexpr int kHandTimes = 3;
  static constexpr Time kStays = std::chrono::seconds(3);
  static constexpr Time kHandAgain = std::chrono::milliseconds(60);
  const LeaderElection* rights_;
  std::map<std::uint32_t, Ledger> all_;
  std::uint32_t swept_ = 0;
  std::vector<PendingTransfer> hands_;
  std::uint64_t handed_ = 0, taken_ = 0;
};

}  // namespace cranemux::ledger
