// The decision module: every routing, quota and retry decision of a gateway, free of I/O. Interface:
// include/cranemux/decision_module.h
//
// Contents: constants; records; quotas; held requests; peer messages; quota leaders; server selection and
// health; attempts and answers; the clock.
#include "cranemux/decision_module.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <stdexcept>
#include <utility>

#include "config/settings.h"
#include "handover/module_state.h"
#include "ledger/lease_requests.h"
#include "ledger/message_budget.h"
#include "ledger/quota_state.h"
#include "ledger/replica_placement.h"
#include "ledger/report.h"
#include "ledger/shards.h"
#include "ledger/split.h"
#include "pool/answer_times.h"
#include "pool/cold_start.h"
#include "pool/load.h"
#include "pool/repeats.h"
#include "pool/tries.h"
#include "pool/windows.h"

namespace cranemux {
namespace {

// ---- constants ----------------------------------------------------------------------------------

// Shares "of the aim" are multiples of the aim (ClassSettings::aim) of the request's class.

constexpr Nanos kMs = 1'000'000;
constexpr Nanos kSecond = 1'000 * kMs;
constexpr std::uint64_t kTimerToken = 1;

constexpr Nanos kSubperiod = 250 * kMs;  // between splits of the ledgers; short against the aims of classes
constexpr Nanos kTick = 10 * kMs;        // between checks of held requests and time-outs
constexpr Nanos kLeaseTime = 2 * kSubperiod;       // trusting: an older answer is stale, as after a stall
constexpr Nanos kAnswerMargin = 8 * kMs;           // the final answer leaves this long before the deadline
constexpr std::uint32_t kGenerationMask = 0xffff;  // a generation travels in 16 bits

// Holding of requests without a lease.
constexpr double kHoldAimShare = 0.5;           // longest hold, of the aim
constexpr Nanos kMaxHold = 500 * kMs;           // longest hold; two subperiods
constexpr double kExhaustedHoldAimShare = 0.2;  // longest hold once the leader has no tokens left, of the aim
constexpr double kRepeatAgeAimShare = 0.3;      // of the aim: age of a repeat whose budget does not tell it
constexpr double kQueueAimShare = 0.2;          // wait for a server with a lease, of the aim
constexpr double kHoldingShare = 0.25;     // of a customer's gateways: hold requests of it at the same time
constexpr double kOptimisticRequests = 2;  // of the largest size: covered without an answer of the leader
constexpr std::uint64_t kMaxPauseSteps = 255;     // of ledger::kPauseStep, in a lease
constexpr Nanos kMaxUploadTime = 3600 * kSecond;  // of a request body; the sender times it out sooner
constexpr double kMaxRetryAdviceSeconds = 60;

// Server selection: factors of a server's expected answer time.
constexpr double kOtherZoneCostFactor = 1.15;   // a server in another zone must be this much better
constexpr double kConnectionCostFactor = 40;    // of a new connection, for each first try that it costs
constexpr double kColdServerCostFactor = 0.01;  // tokens of cold servers go first: unused ones are lost
constexpr double kTriedServerCostFactor = 100;  // a server that the request was sent to before
constexpr double kCostJitter = 0.05;
constexpr double kInitialLatencyAimShare = 0.15;  // of the aim: mean answer time, before the first answer

// Concurrency windows.
constexpr double kGoodAnswerAimShare = 0.25;        // of the aim: answers within this open the window
constexpr double kLateAnswerAimShare = 0.4;         // of the aim: answers past this close it
constexpr Nanos kMinWindowCutInterval = 100 * kMs;  // late answers closer together close it once
constexpr double kMostUploadUse = 0.5;  // of the windows, by requests whose bodies are not whole yet
constexpr double kIdleUse = 0.3;        // of the windows: below this use, requests beyond a quota are served

// Ejection, retries and hedging.
constexpr int kFailuresToEject = 3;            // consecutive
constexpr int kFailuresToSuspect = 2;          // consecutive; late attempts there are retried elsewhere
constexpr Nanos kFirstEjection = 2 * kSecond;  // doubles with each further one, up to kMaxEjection
constexpr Nanos kMaxEjection = 4 * kSecond;
constexpr double kMinTimeoutAimShare = 0.30, kMaxTimeoutAimShare = 0.50;  // of the aim: until a retry
constexpr double kTimeoutPerMeanAnswer = 3;      // multiple of the server's mean answer time, in these bounds
constexpr double kHedgeTokensPerRequest = 0.08;  // second copies for each first attempt, at most
constexpr double kMaxHedgeTokens = 20;
constexpr Nanos kAnswerRateWindow = 4 * kSecond;  // over which the own rate of answers decays

// Idle state.
constexpr Nanos kForgetAfterIfFew = 300 * kSecond;  // idle accounts and ledgers are erased after this ...
constexpr Nanos kForgetAfterIfMany = 500 * kMs;     // ... or this, from kManyAccounts on
constexpr std::size_t kManyAccounts = 1024;
constexpr Nanos kForgetAfter = 60 * kSecond;  // the same of guarded quotas, and removed servers
constexpr std::size_t kManyGuardedAccounts = 16384;
constexpr std::size_t kMostAccounts = 16384;  // requests of further customers are refused

// ---- records ------------------------------------------------------------------------------------

using ledger::Account;
using ledger::Ledger;
using ledger::QuotaState;
using pool::Server;

struct Attempt {
  int server = 0;  // index in Impl::servers_
  Nanos sent_at = 0;
  bool pending = true, may_have_run = true, cancelled = false;
};

// A request from its arrival to its last outcome.
struct Job {
  Request request;
  const ClassSettings* klass = nullptr;
  std::uint32_t account = 0;  // the customer's hash
  Nanos arrived = 0, deadline = 0;
  Nanos aim_end = 0;  // an answer by then earns full worth
  Nanos hold_until = 0;
  Nanos retry_after = 0, retry_at = 0;  // an attempt is late so long after it was sent, or its last byte came
  bool admitted = false;                // no longer held: sent, or answered
  bool done = false;                    // it has its final answer
  bool beyond_quota = false;            // sent without tokens
  double shed_draw = 0;                 // random, from 0 to under 1: compared with the admitted share
  int attempts_out = 0;
  std::vector<Attempt> attempts;
};

// Of an outcome that counts as a failure.
const char* name_of(Result result) {
  if (result == Result::reset) return "broken connection";
  return result == Result::connect_failed ? "failed connect" : "missing answer";
}

}  // namespace

// The state and the decisions of one module: on() handles an event, act() emits an action.
class DecisionModule::Impl {
 public:
  explicit Impl(const Settings& settings, const std::shared_ptr<QuotaState>& quota_state = nullptr)
      : settings_(settings),
        random_(settings.seed),
        quota_state_(quota_state ? quota_state : std::make_shared<QuotaState>()) {
    config::check(settings);
    if (!quota_state) {
      quota_state_->plans = settings_.plans;
      generation_ = static_cast<std::uint32_t>(random_() & kGenerationMask);
    }
    if (plans_ != settings_.plans) throw std::invalid_argument("cranemux: shared quotas need equal plans");
    new_server_.window = windows_.first();
  }

  const std::shared_ptr<QuotaState>& quota_state() const { return quota_state_; }

  std::optional<Allowance> allowance(Nanos now, const std::string& customer) const {
    const auto at = accounts_.find(ledger::hash_of(customer));
    return at == accounts_.end() ? std::nullopt : ledger::allowance_of(at->second, now);
  }

  Outstanding outstanding() const {
    Outstanding out;
    out.requests = jobs_.size();
    for (const auto& [id, job] : jobs_) out.of_requests += job.attempts_out;
    for (const auto& server : servers_) out.at_servers += server.open;
    for (const auto& [hash, account] : accounts_) out.of_customers += account.open_attempts;
    return out;
  }

  std::map<std::string, int> attempts_by_server() const {
    std::map<std::string, int> out;
    for (const auto& server : servers_) {
      if (server.open != 0) out[server.entry.id] += server.open;
    }
    return out;
  }

  std::uint64_t unplaced_outcomes() const { return unplaced_outcomes_; }

  std::size_t unavailable_servers(Nanos now) const {
    return static_cast<std::size_t>(std::count_if(servers_.begin(), servers_.end(), [&](const Server& s) {
      return s.entry.state == ServerState::draining ||
             (s.entry.state == ServerState::running && s.ejected_until > now);
    }));
  }

  std::string guard_report(Nanos now) const {
    if (!settings_.guarded || !quota_state_->transport) return {};
    const auto on_fallback = std::count_if(accounts_.begin(), accounts_.end(), [](const auto& item) {
      return item.second.guarded_quota.fallback_share.active();
    });
    return ledger::tier_report(*quota_state_->transport, *quota_state_->ledgers,
                               static_cast<std::size_t>(on_fallback), ledger::Time(now));
  }

  std::string save() { return settings_.guarded || !started_ ? std::string() : handover::save(memory()); }

  bool restore(Nanos now, const std::string& bytes, std::vector<Action>& actions) {
    auto state = handover::read(bytes, settings_, now);
    if (!state || settings_.guarded || started_) return false;
    now_ = now;
    actions_ = &actions;
    generation_ = state->life;
    start();
    handover::take_up(std::move(*state), memory());
    return true;
  }

  void step(Nanos now, const std::vector<Event>& events, std::vector<Action>& actions) {
    now_ = now;
    actions_ = &actions;
    if (!started_) start();
    leader_selection().tick(time());
    for (const auto& event : events) std::visit([this](const auto& e) { on(e); }, event);
    if (lease_changed_ && now_ < next_tick_) release_held();
    if (now_ >= next_tick_) tick();
    transport().send_due(time(), [this](int to, std::string bytes) {
      act(SendToPeer{to, std::move(bytes)});
    });
    set_timer();
  }

 private:
  handover::Memory memory() {
    return {*quota_state_, recent_answers_, hedge_tokens_,    budgets_,
            servers_,      server_index_,   settings_.classes};
  }

  template <typename T>
  void act(T action) {
    actions_->emplace_back(std::move(action));
  }

  // ---- quotas -----------------------------------------------------------------------------------

  double request_weight(double units) const { return ledger::request_weight(units, settings_.most_units); }

  // Returns the lowest level of a bucket, 0 or less: differences settled afterwards may be as large as the
  // burst.
  double min_tokens(const PlanSettings& plan) const {
    return -(settings_.settles ? std::max(settings_.most_units, plan.burst) : settings_.most_units);
  }

  // Sets up the account for the request's plan: at the customer's first request, or when its plan changes.
  void open_account(Account& account, const Request& request) {
    const auto* const before = account.plan;
    if (before && settings_.guarded) return;  // keeps its first plan until it is erased
    if (before) refill(account);
    for (const auto& plan : plans_) {
      if (plan.name == request.plan) account.plan = &plan;
    }
    if (account.plan == before) return;  // a plan that the settings do not name has no quota: refused
    account.hash = ledger::hash_of(request.customer);
    account.first = std::clamp(request.first, 0, settings_.gateways - 1);
    account.spread = std::clamp(request.spread, 1, settings_.gateways);
    if (!settings_.guarded && settings_.dedicated_leaders == 0)
      account.shards =
          ledger::shard_count(account.plan->rate, account.plan->burst, settings_.most_units,
                              ledger::kMessageShare * settings_.peer_messages_per_s, account.spread);
    account.shard = settings_.index % account.shards;
    if (!before) account.leader_epoch = quota_state_->erased_epoch;
    if (before) return ledger::change_plan(account);
    account.refilled_at = started_at_;
    if (settings_.guarded) return;
    account.tokens = account.confirmed_tokens = account.reported_allowance =
        account.plan->burst;  // until the first answer
    // The own even share of the bucket may be spent before the first answer, but not until the bucket has
    // refilled from what an earlier generation of this gateway may have spent.
    const double refilled = account.plan->rate > 0 ? account.plan->burst / account.plan->rate * kSecond : 0;
    if (static_cast<double>(now_ - started_at_) >= refilled) account.answered_at = now_;
    refill(account);
    if (settings_.dedicated_leaders > 0)
      quota_state_->on_first_request(account, kOptimisticRequests * settings_.most_units, time());
  }

  // True if no other gateway is heard: this one then spends its even share without leases.
  bool isolated() const { return leader_selection().isolated(time()); }

  ledger::Time time() const { return ledger::Time(now_); }
  ledger::Transport& transport() const { return *quota_state_->transport; }
  ledger::LeaderSelection& leader_selection() const { return *quota_state_->leader_selection; }
  ledger::Ledgers& ledgers() const { return *quota_state_->ledgers; }
  const ledger::LeaderElection& leader_election() const { return *transport().leader_election(); }
  bool guarded(const Account& account) const { return settings_.guarded && account.plan->rate > 0; }
  // Even share of this gateway in a guarded rate or burst. Of all gateways, since the set that a request
  // names is not verified.
  double guarded_share(double whole) const { return whole / settings_.gateways; }

  // Refills the account's buckets for the time since the last refill.
  void refill(Account& account) {
    const double seconds = static_cast<double>(now_ - account.refilled_at) / kSecond;
    account.refilled_at = now_;
    const double share = isolated() ? 1.0 / account.spread : 1;
    const double max_tokens =
        std::max(account.plan->burst * share, std::min(settings_.most_units, account.plan->burst));
    // Isolated from now on: the even share of the confirmed tokens, and a random fraction of a unit, so that
    // all gateways together spend at the plan's rate.
    if (isolated() && !account.isolated && account.plan->burst > 0)
      account.tokens = std::min(
          account.confirmed_tokens / account.plan->burst * max_tokens + random_fraction(), max_tokens);
    // No longer isolated. The others have spent their even shares at about the same rate, so the whole is
    // estimated from the own share.
    if (account.isolated && !isolated() && account.tokens > 0) account.tokens *= account.spread;
    account.isolated = isolated();
    account.tokens = std::min(max_tokens, account.tokens + account.plan->rate * share * seconds);
    account.confirmed_tokens = std::min(account.confirmed_tokens, account.tokens);
    account.reported_allowance =
        std::min(account.plan->burst, account.reported_allowance + account.plan->rate * seconds);
    // Each gateway enforces its even share of the hard ceiling by itself. The bucket is empty at every start,
    // since an earlier generation may have just spent it.
    account.ceiling_tokens =
        std::min(account.plan->ceiling_burst / account.spread,
                 account.ceiling_tokens + account.plan->ceiling_rate / account.spread * seconds);
  }

  // Returns whether one more attempt is allowed by the bound on open attempts. Plans that bound the rate,
  // too, have it in even shares, since an attempt may be over before a message about it arrives.
  bool has_attempt_slot(const Account& account) const {
    return ledger::has_attempt_slot(account, settings_.index, settings_.gateways);
  }

  // Returns whether the request may be sent now: by a lease, by the own even share while the last answer is
  // fresh, or as the mode of the account allows (guarded, isolated, shedding, optimistic lease).
  bool may_spend(const Account& account, const Job& job) const {
    const double units = job.request.units;
    if (!has_attempt_slot(account)) return false;
    if (guarded(account)) {
      return account.guarded_quota.covers(account.used_units, units, guarded_share(account.plan->rate),
                                          guarded_share(account.plan->burst), time());
    }
    if (isolated())
      return account.plan->rate > 0 ? account.tokens >= units
                                    : account.open_attempts * account.spread < account.plan->open_limit;
    if (account.optimistic_lease.shedding(time())) return account.optimistic_lease.admits(job.shed_draw);
    if (has_optimistic_lease(account, units)) return true;
    if (now_ > account.answered_at + kLeaseTime) return false;  // stale, as after a stall
    if (account.plan->rate > 0) {
      return static_cast<double>(account.used_units) + units <= static_cast<double>(account.limit) ||
             account.tokens >= units * account.spread;
    }
    return account.plan->open_limit > 0 && account.open_attempts < account.limit;
  }
  // Returns whether an optimistic lease covers `units`.
  bool has_optimistic_lease(const Account& account, double units) const {
    const bool heard =
        account.requested_at <= account.answered_at ||
        (account.unanswered_requests == 0 && now_ - account.requested_at <= ledger::kAnswerTimeout.count());
    return account.plan->rate > 0 &&
           account.optimistic_lease.covers(units, account.borrowable, account.tokens, account.plan->burst,
                                           heard, time());
  }
  // Returns whether a request whose hold ends before the leader has answered may borrow from this gateway's
  // next share.
  bool may_borrow(const Account& account, double units) const {
    if (guarded(account) || account.requested_at <= account.answered_at || !has_attempt_slot(account))
      return false;  // answered: no tokens are left
    return account.plan->rate > 0 ? std::min(account.borrowable, account.confirmed_tokens) >= units
                                  : account.open_attempts * account.spread < account.plan->open_limit;
  }
  // Returns the own share of the tokens if those gateways that most likely hold requests, too, divide them;
  // a share below one request is rounded up to one at random, in proportion. Of confirmed tokens only:
  // refill, and what a new generation assumes to be left, would be borrowed by each gateway of the set,
  // repeatedly.
  double next_share(const Account& account) {
    const double share =
        std::max(0.0, account.confirmed_tokens / std::max(1.0, account.spread * kHoldingShare));
    return share < settings_.most_units && random_fraction() < share / settings_.most_units
               ? settings_.most_units
               : share;
  }

  // Takes the units of a request that is sent now.
  void spend(Account& account, double units) {
    if (active_elsewhere_) act(SpentElsewhere{account.hash, units, false});
    account.ceiling_tokens -= units;
    if (guarded(account) &&
        !account.guarded_quota.spend(account.used_units, units, guarded_share(account.plan->rate),
                                     guarded_share(account.plan->burst), time()))
      return;
    account.used_units += std::llround(units);
    account.reported_allowance -= units;
    account.tokens = std::max(min_tokens(*account.plan), account.tokens - units);
    account.confirmed_tokens = std::max(min_tokens(*account.plan), account.confirmed_tokens - units);
    if (account.used_units <= account.limit) return;
    if (account.isolated) {  // its own even share: no leader counts it later
      account.limit = account.used_units;
      ++account.leader_epoch;
      return;
    }
    mark_changed(account);  // beyond the lease: to be reported to the leader
    account.borrowable -= units;
    account.optimistic_lease.spend(account.borrowable, time());
  }

  // ---- held requests ----------------------------------------------------------------------------

  void on(const Request& request) {
    Job job;
    job.request = request;
    job.klass = &settings_.classes.front();
    for (const auto& c : settings_.classes) {
      if (c.name == request.klass) job.klass = &c;
    }
    job.account = ledger::hash_of(request.customer);
    job.arrived = now_;
    if (settings_.dedicated_leaders > 0) job.shed_draw = random_fraction();
    job.aim_end = job.deadline = now_ + kMaxUploadTime;
    if (!request.uploading) set_deadlines(job, now_);
    const auto hold = static_cast<Nanos>(kHoldAimShare * static_cast<double>(job.klass->aim));
    job.hold_until = std::min(now_ + std::min(kMaxHold, hold), job.aim_end);
    auto [at, fresh] = jobs_.try_emplace(request.id, std::move(job));
    if (!fresh) return;
    // Past its aim a request may earn nothing: the lease is left to those that can.
    const bool too_late = now_ >= at->second.aim_end && !late_answer_pays(at->second);
    at->second.admitted = request.budget <= kAnswerMargin || too_late;  // never held
    at->second.admitted |= accounts_.size() >= kMostAccounts && !accounts_.contains(at->second.account);
    if (at->second.admitted) return finish(at->second);  // no account: such requests come at any rate
    pool::count_try(budgets_[at->second.klass->name], request.budget / kMs);
    auto& account = accounts_[at->second.account];
    if (!account.plan || account.plan->name != request.plan) open_account(account, request);
    held_requests_.push_back(request.id);
    account.held_requests += 1;
    account.held_weight += request_weight(request.units);
    account.held_units += request.units;
    account.hold_until =
        std::max(account.hold_until, std::min(at->second.hold_until, exhausted_hold_end(at->second)));
    if (account.held_requests == 1 && !servers_full_) try_release(at->second);
    if (account.held_requests > 0) {
      mark_changed(account);
      request_lease(account);
    }
    if (at->second.admitted || at->second.done) held_requests_.pop_back();
  }

  // Sets the times of a request whose last byte came at `start`, from which its budget counts.
  void set_deadlines(Job& job, Nanos start) {
    job.deadline = start + job.request.budget;
    const auto age = age_of(job);
    job.aim_end = std::min(start + job.klass->aim - age, job.deadline - kAnswerMargin);
  }
  void on(const Uploaded& uploaded) {
    const auto at = jobs_.find(uploaded.request);
    if (at == jobs_.end()) return;
    auto& job = at->second;
    if (std::exchange(job.request.uploading, false)) uploads_out_ -= job.attempts_out;
    job.retry_at = now_ + job.retry_after;
    set_deadlines(job, now_ - uploaded.waited);
  }

  // Returns the time since the client's first try, from which the aim counts. A later try's budget is the
  // rest of the client's patience.
  Nanos age_of(const Job& job) {
    const auto& klass = *job.klass;
    const auto budget_ms = job.request.budget / kMs;
    const auto class_index = static_cast<std::size_t>(&klass - settings_.classes.data());
    const bool as_before = last_budgets_.as_before(job.account, class_index, budget_ms);
    if (!as_before && pool::is_uncommon(budgets_[klass.name], budget_ms))
      return std::max<Nanos>(0, klass.give_up - job.request.budget);
    // A repeat with the budget of a first try: at least one hold and one client's wait have passed.
    return job.request.repeat ? static_cast<Nanos>(kRepeatAgeAimShare * static_cast<double>(klass.aim)) : 0;
  }

  // Returns when a held request is refused. Sooner once the leader has answered, so that the client's retry
  // still meets the aim.
  Nanos hold_end(const Job& job, const Account& account) const {
    if (account.optimistic_lease.shedding(time())) return job.arrived;  // at once: no lease will come
    return account.requested_at > account.answered_at ? job.hold_until
                                                      : std::min(job.hold_until, exhausted_hold_end(job));
  }
  static Nanos exhausted_hold_end(const Job& job) {
    return job.arrived + static_cast<Nanos>(kExhaustedHoldAimShare * static_cast<double>(job.klass->aim));
  }

  // Sends, answers or keeps holding a request. Returns true if it is no longer held.
  bool try_release(Job& job) {
    auto& account = accounts_[job.account];
    if (account.plan) refill(account);
    const double units = job.request.units;
    const bool below_ceiling =
        account.plan && (account.plan->ceiling_rate <= 0 || account.ceiling_tokens >= units);
    const bool may_send = below_ceiling && may_spend(account, job);
    // The search for a server takes most of the CPU time in a large fleet, so only requests that could be
    // sent start one.
    const auto hold_until = hold_end(job, account);
    const int server = may_send || (below_ceiling && now_ >= hold_until) ? choose_server(job) : -1;
    servers_full_ = servers_full_ || (may_send && server < 0);
    if (server >= 0 && (may_send || may_borrow(account, units))) {
      spend(account, units);
      end_hold(job, account);
      send(job, server);
      return true;
    }
    const auto queue_time = static_cast<Nanos>(kQueueAimShare * static_cast<double>(job.klass->aim));
    const auto give_up_at = may_send || (account.plan && account.plan->rate <= 0)
                                ? std::min(job.aim_end, job.arrived + queue_time)
                                : hold_until;
    if (now_ < give_up_at) return false;
    end_hold(job, account);
    if (!may_send && account.optimistic_lease.shedding(time())) {
      account.optimistic_lease.record_shed(units, time());
      mark_changed(account);
    }
    // Idle servers take requests beyond the quota if the plan earns more by them than they cost.
    if (server >= 0 && servers_idle_ && below_ceiling && account.plan->over_worth > account.plan->over_cost) {
      account.ceiling_tokens -= units;
      job.beyond_quota = true;
      send(job, server);
    } else {
      finish(job);
    }
    return true;
  }

  // Takes a request off the held ones of its account.
  void end_hold(Job& job, Account& account) {
    job.admitted = true;
    account.held_requests -= 1;
    account.held_weight = account.held_requests > 0
                              ? std::max(0.0, account.held_weight - request_weight(job.request.units))
                              : 0;
    account.held_units = account.held_requests > 0 ? account.held_units - job.request.units : 0;
    account.requested_units = std::min(account.requested_units, account.held_units);
    if (account.limit > account.used_units) mark_changed(account);  // the rest of the lease is returned
  }

  // Priority of a held request while servers are full: worth per time of work, which the aim stands for.
  double priority_of(const Job& job) {
    const auto* plan = accounts_[job.account].plan;
    return job.klass->worth * (plan ? plan->price : 1) / static_cast<double>(job.klass->aim);
  }

  // Tries all held requests, by priority if servers are full.
  void release_held() {
    std::erase_if(held_requests_, [&](const auto& id) { return !jobs_.count(id) || jobs_.at(id).admitted; });
    if (servers_full_) {
      std::stable_sort(held_requests_.begin(), held_requests_.end(),
                       [&](const auto& left, const auto& right) {
                         return priority_of(jobs_.at(left)) > priority_of(jobs_.at(right));
                       });
    }
    servers_full_ = lease_changed_ = false;
    std::vector<std::string> still_held;
    for (auto& id : held_requests_) {
      if (!try_release(jobs_.at(id))) still_held.push_back(std::move(id));
    }
    held_requests_ = std::move(still_held);
    erase_finished();
  }

  // ---- peer messages ----------------------------------------------------------------------------

  void on(const PeerMessage& message) {
    const auto received = transport().receive(message.from, message.bytes, time());
    if (!received) return;
    leader_selection().record_message(message.from, time());
    for (const auto& entry : received->entries) {
      if (entry.plan >= plans_.size() || !ledger::plausible(entry)) return;
      std::visit([&](const auto& content) { handle(message.from, entry, content, received->generation); },
                 entry.message);
    }
  }
  void handle(int from, const ledger::Entry& entry, const ledger::Lease& lease, std::uint32_t) {
    const auto account = accounts_.find(entry.customer);
    if (lease.generation != generation_ || account == accounts_.end()) return;
    // From a replica that was asked while no member was heard. Now the leader can be asked, at once.
    if (leader_selection().is_stale_answer(account->second, from, leader_of(account->second)))
      return due_queue_.schedule(entry.customer, time());
    apply_lease(account->second, static_cast<std::int64_t>(lease.limit), lease.level,
                static_cast<std::uint32_t>(lease.number),
                ledger::kPauseStep * static_cast<int>(std::min(lease.pause, kMaxPauseSteps)),
                lease.open == 1);
  }
  void handle(int from, const ledger::Entry& entry, const ledger::Transfer& transfer, std::uint32_t) {
    ledgers().receive_transfer(open_ledger(entry, 1), from, leader_election().generations_seen(from),
                               transfer.level, transfer.number, time());
  }
  void handle(int, const ledger::Entry& entry, const ledger::ShedShare& shed, std::uint32_t) {
    const auto share = static_cast<int>(std::min<std::uint64_t>(shed.share, ledger::kWholeShare));
    quota_state_->apply_shed_notice({entry.plan, entry.customer, share}, time());
  }

  // ---- quota leaders ----------------------------------------------------------------------------

  // A customer's tokens are split by one gateway for all, its quota leader, which follows from the customer's
  // hash: the gateways report what they hold and use, and the leader grants leases to those that hold
  // requests. With all gateways informed of all demand, as in the paper, messages would exceed what peers
  // take in; and over many gateways an even share would be less than one request and lie unused. The leader
  // is of the customer's own set, so a part of the requests needs no messages; replicas of the set take its
  // place when it does not answer. Counts in messages are totals of a generation, so lost and repeated
  // messages need no repair.

  // Returns the member to ask about the customer; -1: none can be reached.
  int leader_of(const Account& account) const {
    if (settings_.guarded) return leader_election().leader(account.hash);
    return leader_selection().leader_for(
        account, [this](int member) { return transport().dedicated_leader_failed(member, time()); }, time());
  }

  // Schedules a request or report about the account.
  void mark_changed(Account& account) {
    if (!account.plan) return;
    account.changed = true;
    due_queue_.schedule(account.hash, time());
  }

  // Requests a lease or sends a report, if one is due: at once for newly held requests, after a back-off for
  // an unanswered request, else each subperiod. Returns when to call it again.
  Nanos request_lease(Account& account) {
    const bool awaiting_answer = ledger::awaits_answer(account);
    const bool only_reports =
        account.held_requests == 0 && !awaiting_answer && account.optimistic_lease.only_reports(time());
    if (only_reports && account.optimistic_lease.due() > time())
      return account.optimistic_lease.due().count();
    const bool report = only_reports && !account.optimistic_lease.needs_renewal(account.borrowable, time());
    int leader = leader_of(account);
    const bool exhausted = account.confirmed_tokens < account.shards;  // the shard had no tokens left
    const ledger::Time pause(leader != settings_.index && exhausted ? account.request_pause : 0);
    const auto next = leader_selection().next_request_at(account, leader, pause, time());
    if (!report && time() < next) return std::min(next.count(), now_ + kSubperiod);
    if (leader_selection().start_request(
            account, leader, [this] { return random_fraction(); }, time()))
      leader = leader_of(account);
    if (account.held_requests == 0 && !account.changed && !awaiting_answer) return now_;
    refill(account);
    if (exhausted && !awaiting_answer && account.shards > 1 &&
        account.used_units >= account.limit) {  // another shard may have tokens
      account.shard = (account.shard + 1) % account.shards;
      leader = leader_of(account);
    }
    if (leader != std::exchange(account.leader, leader)) ++account.leader_epoch;
    account.changed =
        account.plan->rate <= 0 && account.open_attempts > 0;  // attempts out are reported while they last
    if (!report) account.requested_at = now_;
    account.requested_units = account.held_units;
    if (leader < 0) return now_;
    const auto plan = static_cast<std::uint32_t>(account.plan - plans_.data());
    const auto entry = ledger::make_lease_request(account, plan, guarded(account), report, time());
    if (leader != settings_.index && !report) leader_selection().record_request(leader);
    if (leader != settings_.index || isolated())
      transport().enqueue(leader, entry);
    else
      handle(leader, entry, std::get<ledger::LeaseRequest>(entry.message), generation_);
    return now_;
  }

  // Returns the ledger of the entry's customer, a new one if there is none. `shard_count`: shards of the
  // ledger.
  Ledger& open_ledger(const ledger::Entry& entry, std::uint64_t shard_count) {
    const auto& plan = plans_[entry.plan];
    const auto shards = static_cast<std::uint32_t>(shard_count);
    return ledgers().open({entry.customer, entry.plan, plan.rate / shards, plan.burst / shards,
                           min_tokens(plan), 0, shards, settings_.dedicated_leaders > 0},
                          time());
  }

  // As leader: a lease request or report of gateway `from`. Units used beyond its limit are taken off the
  // tokens, and units that it no longer wants are returned to them.
  void handle(int from, const ledger::Entry& entry, const ledger::LeaseRequest& request,
              std::uint32_t generation) {
    const auto demand = ledger::read_demand(request, generation, settings_.guarded);
    if (settings_.guarded && (shutting_down_ || !ledgers().has_leadership(entry.customer, time())))
      return send_refusal(from, entry, demand);
    auto& ledger = open_ledger(entry, request.shards);
    if (ledger.plan != entry.plan || ledger.shards != request.shards) return;
    ledgers().fill(ledger, time());
    ledger.requested_at = time();
    if (from != settings_.index && demand.wanted > 0) {
      const double max_requests_per_s = ledger::kMessageShare * settings_.peer_messages_per_s;
      ledger.pacing.record_request(
          {ledger.rate, max_requests_per_s, settings_.gateways, ledger.claims.size() + 1}, time());
    }
    // This ledger refilled while another leader granted leases that it does not know of: without a current
    // claim of the sender, the lowest level that a sender reports counts.
    if (!settings_.guarded && !ledger.has_current_claim(from, demand)) {
      ledger.tokens = std::min(ledger.tokens, ledger::decode_level(ledger.burst, request.level));
    }
    if (!ledger.merge(from, demand, time())) return;
    const bool answer_report =
        demand.report && (settings_.dedicated_leaders == 0 ||
                          (demand.share < ledger::kWholeShare) != ledger.load_shedder.active());
    split_ledger(ledger, demand.report ? -1 : from, answer_report ? from : -1);
  }

  // Answers that this gateway lacks leadership: the sender may use its fallback share.
  void send_refusal(int from, const ledger::Entry& entry, const ledger::Demand& demand) {
    if (from == settings_.index) return;
    const auto used = static_cast<std::uint64_t>(demand.used);
    transport().enqueue(from,
                        {entry.plan, entry.customer,
                         ledger::Lease{demand.generation & kGenerationMask, used, 0, demand.number, 0, 0}});
  }

  // Splits the ledger's tokens and sends the leases that have changed. `requester` is answered in any case;
  // `reporter`, which has only sent a report, if its optimistic lease or admitted share is out of date. -1:
  // none.
  void split_ledger(Ledger& ledger, int requester, int reporter = -1) {
    ledgers().fill(ledger, time());
    if (!ledgers().has_leadership(ledger.customer, time())) return;
    const auto& plan = plans_[ledger.plan];
    const ledger::SplitOptions options{settings_.most_units, plan.rate > 0 ? 0 : plan.open_limit, requester};
    for (const int gateway : ledger::split(ledger, options, time(), random_)) {
      if (gateway != requester) send_lease(ledger, gateway);
    }
    if (requester >= 0) send_lease(ledger, requester);
    if (settings_.guarded || plan.rate <= 0) return;
    if (settings_.dedicated_leaders > 0) {
      const auto share = ledger.load_shedder.update(ledger.tokens, ledger.rate, ledger.burst, time());
      if (share) return transport().notify_all({ledger.plan, ledger.customer, *share});
      if (reporter >= 0)
        transport().notify(reporter, {ledger.plan, ledger.customer, ledger.load_shedder.announced_share()});
      return;
    }
    const bool became_low = ledger.low_watermark.update(ledger.tokens, ledger.burst, time());
    if (!became_low && reporter >= 0 && ledger.low_watermark.below(time())) send_lease(ledger, reporter);
    for (auto at = ledger.claims.begin(); became_low && at != ledger.claims.end(); ++at) {
      if (at->first != requester) send_lease(ledger, at->first);
    }
  }

  // Sends gateway `to` its lease, or applies it if that is this gateway.
  void send_lease(const Ledger& ledger, int to) {
    const auto& claim = ledger.claims.at(to);
    const auto level = ledger::encode_level(ledger.burst, ledger.tokens);
    const auto number = settings_.guarded ? claim.number : claim.leader_epoch;
    const bool open = settings_.guarded || (ledger.rate > 0 && !ledger.below_low_watermark(time()));
    if (to == settings_.index)
      return apply_lease(accounts_[ledger.customer], claim.limit, level, number, ledger::Time(0), open);
    ledger::Lease lease{claim.generation & kGenerationMask, static_cast<std::uint64_t>(claim.limit), level,
                        number};
    lease.pause = static_cast<std::uint64_t>(ledger.pacing.pause() / ledger::kPauseStep);
    lease.open = open ? 1 : 0;
    transport().enqueue(to, {ledger.plan, ledger.customer, lease});
  }

  // Applies the leader's answer. `open`: guarded: the leader has leadership; trusting: the bucket is far from
  // empty.
  void apply_lease(Account& account, std::int64_t limit, std::uint64_t level, std::uint32_t number,
                   ledger::Time pause, bool open) {
    if (!account.plan) return;
    refill(account);
    if (guarded(account)) {
      if (!open) account.guarded_quota.refused(number, time());
      if (!open)
        return account.guarded_quota.update_fallback(leader_election(), account.hash, settings_.index,
                                                     time());
      if (!account.guarded_quota.lease.apply_grant(number, limit, time())) return;
      account.guarded_quota.no_leader_until = ledger::Time(-1);
      limit = account.guarded_quota.lease.limit();
    } else if (number != account.leader_epoch) {
      return;  // from a previous leader
    }
    account.limit = limit;
    if (account.plan->rate > 0 && account.used_units > limit)
      mark_changed(account);  // spent while the lease was being returned
    account.answered_at = std::max(now_, account.requested_at);
    account.last_answered_shard = account.shard;
    account.request_pause = pause.count();
    account.tokens = account.confirmed_tokens = ledger::decode_level(account.plan->burst, level);
    account.borrowable = std::max(
        next_share(account), open && !settings_.guarded ? kOptimisticRequests * settings_.most_units : 0);
    account.optimistic_lease.update(open && !settings_.guarded, account.borrowable, time());
    account.reported_allowance =
        std::min(account.plan->burst, account.tokens + static_cast<double>(limit - account.used_units));
    lease_changed_ = true;
    if (account.held_requests > 0) due_queue_.schedule(account.hash, time());
  }

  // ---- server selection and health --------------------------------------------------------------

  // A server whose start time changes has restarted, and is learned anew.
  void on(const ServerList& list) {
    if (list.scope == ListScope::failed && settings_.list_on_request) act(WatchServers{});
    if (list.scope == ListScope::full || list.scope == ListScope::stored) {
      for (auto& server : servers_) server.entry.state = ServerState::removed;
    }
    for (const auto& entry : list.servers) {
      if (entry.state == ServerState::removed && !server_index_.contains(entry.id)) continue;
      const auto [at, fresh] = server_index_.try_emplace(entry.id, -1);
      if (fresh) at->second = server_slot();
      auto& server = servers_[static_cast<std::size_t>(at->second)];
      if (fresh || server.entry.started != entry.started) {
        const int open = server.open;
        server = new_server_;
        server.open = open;
        server.cold_tokens = random_fraction();
      }
      server.entry = entry;
      server.listed = now_;
    }
  }

  // Returns the index of a slot for a new server: that of a server removed so long ago that no attempt or
  // request refers to it, or a new one.
  int server_slot() {
    const auto unused = std::find_if(servers_.begin(), servers_.end(), [&](const Server& s) {
      return s.entry.state == ServerState::removed && s.open == 0 && now_ - s.listed > kForgetAfter;
    });
    if (unused == servers_.end()) {
      servers_.emplace_back();
      return static_cast<int>(servers_.size()) - 1;
    }
    server_index_.erase(unused->entry.id);
    return static_cast<int>(unused - servers_.begin());
  }

  // Random, from 0 to under 1. As the first tokens of a cold server it spreads the first attempts of all
  // gateways evenly.
  double random_fraction() { return static_cast<double>(random_() & 1023U) / 1024; }

  double warmth(const Server& server) const { return cold_start_.warmth(server, now_); }

  // Returns whether the server's state, ejection, cold tokens and window allow one more attempt.
  bool can_take_attempt(const Server& server) const {
    if (server.entry.state != ServerState::running) return false;
    if (server.ejected_until > 0 && (now_ < server.ejected_until || server.open > 0)) return false;
    if (warmth(server) < 1 && server.cold_tokens < 1) return false;
    return server.open < std::max(1.0, server.window);
  }

  // Returns until when the request may be sent again, given which of its attempts may have run.
  static Nanos repeat_deadline(const Job& job) {
    Nanos end = pool::kAnyTime;
    for (const auto& attempt : job.attempts) {
      if (attempt.may_have_run) end = std::min(end, pool::repeats_end(*job.klass, attempt.sent_at) - kTick);
    }
    return end;
  }
  // Returns whether the server would drop a repeat of every attempt that may have run.
  bool may_repeat_at(const Job& job, const Server& server) const {
    return std::all_of(job.attempts.begin(), job.attempts.end(), [&](const Attempt& attempt) {
      const auto& ran = servers_[static_cast<std::size_t>(attempt.server)].entry;
      return !attempt.may_have_run || pool::drops_repeat(*job.klass, ran, server.entry);
    });
  }

  // Returns the index of the server with the least expected answer time (own attempts out, times its mean
  // answer time), or -1.
  int choose_server(const Job& job) {
    int best = -1;
    double best_cost = 0;
    const auto [windows, open] =
        windows_.in_use(servers_);  // the sum of the windows bounds all open attempts, too
    servers_idle_ = open < kIdleUse * windows;
    if (open > windows || now_ >= repeat_deadline(job)) return -1;
    // A body comes as slowly as its client likes: others find places beside it.
    if (job.request.uploading && uploads_out_ >= std::max(1.0, kMostUploadUse * windows)) return -1;
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      const auto& server = servers_[i];
      if (!can_take_attempt(server) || !may_repeat_at(job, server)) continue;
      double cost =
          answer_times_.of(server) * (server.open + 1) * (warmth(server) < 1 ? kColdServerCostFactor : 1);
      if (now_ - server.last_ok_sent > settings_.connection_idle)
        cost *= 1 + kConnectionCostFactor * settings_.connection_price;
      if (server.entry.zone != settings_.zone) cost *= kOtherZoneCostFactor;
      cost *= 1 + kCostJitter * random_fraction();
      for (const auto& attempt : job.attempts) {
        if (attempt.server == static_cast<int>(i)) cost *= kTriedServerCostFactor;
      }
      if (best < 0 || cost < best_cost) {
        best = static_cast<int>(i);
        best_cost = cost;
      }
    }
    return best;
  }

  // Returns whether the server has answered nothing that was sent after the attempt: then the server, not the
  // request, may be at fault.
  bool is_suspect(const Attempt& attempt) const {
    return servers_[static_cast<std::size_t>(attempt.server)].last_ok_sent <= attempt.sent_at;
  }

  // Learns from an outcome: answer times, windows, consecutive failures and ejection.
  void record_outcome(Server& server, const Job& job, const Attempt& attempt, const Outcome& outcome) {
    const auto aim = static_cast<double>(job.klass->aim);
    const auto took = static_cast<double>(outcome.took);
    const bool unanswered = outcome.result == Result::timeout || outcome.result == Result::cancelled;
    const bool timed = outcome.result == Result::ok || (unanswered && took > kMinTimeoutAimShare * aim);
    if (timed) answer_times_.learn(server, took / aim);
    if (outcome.result == Result::ok) {
      recent_answers_ += 1;
      server.last_ok_sent = std::max(server.last_ok_sent, attempt.sent_at);
      server.strikes = 0;
      server.ejected_until = server.ejected_for = 0;
    }
    const bool late = took > kLateAnswerAimShare * aim &&
                      (outcome.result == Result::ok || (unanswered && !attempt.cancelled));
    if (windows_.together()) {
      if (timed && !answer_times_.slow(server)) windows_.scale(servers_, load_.change(took / aim));
    } else if (outcome.result == Result::ok && took < kGoodAnswerAimShare * aim) {
      windows_.open(server);
    } else if ((outcome.result == Result::full || late) && now_ - server.cut_at >= kMinWindowCutInterval) {
      windows_.close(server);
      server.cut_at = now_;
    }
    if (outcome.result == Result::reset || outcome.result == Result::connect_failed ||
        (unanswered && is_suspect(attempt) && took > kMinTimeoutAimShare * aim)) {
      if (++server.strikes < kFailuresToEject && server.ejected_until == 0) return;
      server.ejected_for =
          std::min(kMaxEjection, server.ejected_for > 0 ? server.ejected_for * 2 : kFirstEjection);
      server.ejected_until = now_ + server.ejected_for;
      act(Log{"ejected " + server.entry.id + ": " + std::to_string(server.strikes) +
              " failures in a row, the last a " + name_of(outcome.result) + " after " +
              std::to_string(outcome.took / kMs) + " ms"});
    }
  }

  // `passed`: ns since the last call.
  void refill_cold_tokens(Nanos passed) {
    recent_answers_ *= std::exp(-static_cast<double>(passed) / kAnswerRateWindow);
    const double per_s = recent_answers_ * kSecond / kAnswerRateWindow;
    cold_start_.refill(servers_, per_s, passed, now_, [this] { return random_fraction(); });
  }

  // ---- attempts and answers ---------------------------------------------------------------------

  // Returns whether an answer past the aim earns anything.
  bool late_answer_pays(const Job& job) const { return job.klass->late_share > 0; }
  // Returns when the request gets its final answer at the latest.
  Nanos end_of(const Job& job) const {
    return late_answer_pays(job) ? job.deadline - kAnswerMargin : job.aim_end;
  }

  void send(Job& job, int server) {
    auto& target = servers_[static_cast<std::size_t>(server)];
    const auto aim = static_cast<double>(job.klass->aim);
    job.retry_after = static_cast<Nanos>(aim * std::clamp(kTimeoutPerMeanAnswer * answer_times_.of(target),
                                                          kMinTimeoutAimShare, kMaxTimeoutAimShare));
    job.retry_at = now_ + job.retry_after;
    const auto timeout = end_of(job) - now_, send_deadline = repeat_deadline(job);
    job.attempts.push_back({server, now_, true, true, false});
    job.attempts_out += 1;
    target.open += 1;
    uploads_out_ += job.request.uploading ? 1 : 0;
    target.cold_tokens -= 1;
    if (job.attempts.size() == 1)
      hedge_tokens_ = std::min(kMaxHedgeTokens, hedge_tokens_ + kHedgeTokensPerRequest);
    accounts_[job.account].open_attempts += 1;
    act(Send{job.request.id, target.entry.id, std::max<Nanos>(timeout, kMs),
             send_deadline == pool::kAnyTime ? 0 : send_deadline, static_cast<int>(job.attempts.size()) - 1});
  }

  // Returns whether the class and the attempts so far allow one more attempt.
  bool may_repeat(const Job& job) const {
    if (static_cast<int>(job.attempts.size()) >= settings_.max_attempts) return false;
    if (job.klass->repeat != Repeat::unsafe) return true;
    return std::none_of(job.attempts.begin(), job.attempts.end(),
                        [](const auto& attempt) { return attempt.may_have_run; });
  }

  void on(const Outcome& outcome) {
    const auto at = jobs_.find(outcome.request);
    if (at == jobs_.end()) return report_unplaced(outcome, "its request is not known");
    auto& job = at->second;
    if (outcome.attempt < 0 || outcome.attempt >= static_cast<int>(job.attempts.size()))
      return report_unplaced(outcome, "no such attempt was sent");
    auto& attempt = job.attempts[static_cast<std::size_t>(outcome.attempt)];
    if (!attempt.pending) return report_unplaced(outcome, "the attempt has had its outcome");
    attempt.pending = false;
    attempt.may_have_run = outcome.result != Result::full && outcome.result != Result::connect_failed &&
                           outcome.result != Result::not_sent;
    job.attempts_out -= 1;
    auto& server = servers_[static_cast<std::size_t>(attempt.server)];
    server.open -= 1;
    uploads_out_ -= job.request.uploading ? 1 : 0;
    record_outcome(server, job, attempt, outcome);
    auto& account = accounts_[job.account];
    account.open_attempts -= 1;
    if (account.plan && account.plan->open_limit > 0) {  // its slot is returned at once
      mark_changed(account);
      account.requested_units = -1;
      lease_changed_ = true;
    }
    if (account.plan && outcome.settled_units > 0 && !job.beyond_quota)
      settle(account, outcome.settled_units - job.request.units);
    if (outcome.finished || job.done) {
      close(job);
    } else if (job.attempts_out == 0) {
      retry_or_finish(job);
    }
  }

  // An attempt that is waited for may then be out for good: a fault of whoever makes the attempts.
  void report_unplaced(const Outcome& outcome, const char* reason) {
    ++unplaced_outcomes_;
    act(Log{"unplaced outcome of request " + outcome.request + " attempt " + std::to_string(outcome.attempt) +
            ": " + reason + "; restart this gatekeeper if `nodes` shows attempts held that are not busy"});
  }

  // Charges the difference between a request's true units and those spent for it; may be below 0.
  void settle(Account& account, double difference) {
    if (active_elsewhere_) act(SpentElsewhere{account.hash, difference, true});
    refill(account);
    account.used_units = std::max<std::int64_t>(0, account.used_units + std::llround(difference));
    account.limit += std::llround(difference);
    account.reported_allowance -= difference;
    account.tokens = std::max(min_tokens(*account.plan), account.tokens - difference);
    mark_changed(account);
  }

  // After the last pending attempt has failed.
  void retry_or_finish(Job& job) {
    const auto min_time_left =
        static_cast<Nanos>(kInitialLatencyAimShare / 2 * static_cast<double>(job.klass->aim));
    const int server = may_repeat(job) && job.aim_end - now_ > min_time_left ? choose_server(job) : -1;
    server >= 0 ? send(job, server) : finish(job);
  }

  // Gives the module's own final answer. A refusal promises that nothing has run or that a repeat does no
  // harm; else the request fails.
  void finish(Job& job) {
    bool may_have_run = false;
    for (const auto& attempt : job.attempts) may_have_run = may_have_run || attempt.may_have_run;
    if (may_have_run && !pool::harmless_once_run(*job.klass)) {
      act(Fail{job.request.id});
    } else {
      // A client that waits as long as the longest advice misses the aim, and its retry spends tokens for
      // nothing. So only a request that has already missed its aim is advised to wait.
      const auto longest_advice = now_ >= job.aim_end ? settings_.max_retry_after : 0;
      act(Refuse{job.request.id, settings_.retry_after ? longest_advice : retry_advice(job)});
    }
    close(job);
  }

  // Returns in how many ns the request's units should be available again, for clients without own retries.
  Nanos retry_advice(const Job& job) {
    const auto at = accounts_.find(job.account);
    const auto* const account = at == accounts_.end() ? nullptr : &at->second;
    const bool short_of_tokens =
        account && account->plan && account->plan->rate > 0 && account->tokens < job.request.units;
    const double seconds = short_of_tokens ? (job.request.units - account->tokens) / account->plan->rate : 0;
    return std::max(kSubperiod, static_cast<Nanos>(std::min(seconds, kMaxRetryAdviceSeconds) * kSecond));
  }

  // Ends a request that has its final answer, and cancels its pending attempts.
  void close(Job& job) {
    job.done = true;
    if (!job.admitted) end_hold(job, accounts_[job.account]);
    for (std::size_t i = 0; i < job.attempts.size(); ++i) {
      if (job.attempts[i].pending && settings_.cancel) act(Cancel{job.request.id, static_cast<int>(i)});
    }
    if (job.attempts_out == 0) finished_requests_.push_back(job.request.id);
  }

  // Erases jobs whose last outcome has come.
  void erase_finished() {
    for (const auto& id : finished_requests_) jobs_.erase(id);
    finished_requests_.clear();
  }

  void on(const ClientGone& gone) {
    const auto at = jobs_.find(gone.request);
    if (at != jobs_.end() && !at->second.done) close(at->second);
  }
  template <typename Other>
  void on(const Other&) {}  // a timer only causes the step

  // Retries a late attempt at a server that does not answer: a second copy where that is allowed (hedging),
  // else the attempt is cancelled and, once that is confirmed, sent elsewhere. One unanswered attempt is no
  // evidence: requests are few for each server, and a heavy one is as heavy elsewhere. Consecutive failures
  // are.
  void retry_elsewhere(Job& job) {
    auto& attempt = job.attempts.back();
    const int failures = servers_[static_cast<std::size_t>(attempt.server)].strikes;
    if (!attempt.pending || !is_suspect(attempt) || failures < kFailuresToSuspect) return;
    if (settings_.second_copies) {
      const int server = hedge_tokens_ >= 1 ? choose_server(job) : -1;
      if (server < 0) return;
      hedge_tokens_ -= 1;
      send(job, server);
    } else if (settings_.cancel && !attempt.cancelled) {
      attempt.cancelled = true;
      act(Cancel{job.request.id, static_cast<int>(job.attempts.size()) - 1});
    }
  }

  // Finishes requests whose time is up, and retries late attempts.
  void check_attempts() {
    for (auto& [id, job] : jobs_) {
      if (job.done || !job.admitted) continue;
      if (now_ >= end_of(job) - (late_answer_pays(job) ? kTick : 0)) {
        finish(job);
      } else if (job.attempts_out > 0 && !job.request.uploading && now_ >= job.retry_at && may_repeat(job)) {
        retry_elsewhere(job);
      }
    }
    erase_finished();
  }

  // ---- the clock --------------------------------------------------------------------------------

  void start() {
    started_ = true;
    if (!quota_state_->transport) start_quotas();
    next_split_ = (now_ / kSubperiod + 1) * kSubperiod;
    last_tick_ = cold_tokens_refilled_at_ = now_;
    if (settings_.list_on_request) act(WatchServers{});
  }

  // Sets up the quota state; the first of the modules that share it does.
  void start_quotas() {
    started_at_ = now_;
    quota_state_->next_split = (now_ / kSubperiod + 1) * kSubperiod;
    const double rate = ledger::message_rate(settings_.peer_messages_per_s, settings_.index,
                                             settings_.gateways, settings_.dedicated_leaders);
    const auto generation = static_cast<std::uint16_t>(generation_);
    quota_state_->transport = std::make_unique<ledger::Transport>(
        ledger::TransportSettings{settings_.gateways, settings_.index, generation, settings_.message_bytes,
                                  rate, ledger::kMessageBurst, settings_.peers, settings_.guarded,
                                  settings_.seed, settings_.dedicated_leaders},
        time());
    quota_state_->leader_selection = std::make_unique<ledger::LeaderSelection>(
        ledger::LeaderSelectionSettings{settings_.gateways, settings_.index, settings_.dedicated_leaders,
                                        settings_.guarded, ledger::Time(kSubperiod)},
        time());
    quota_state_->ledgers = std::make_unique<ledger::Ledgers>(transport().leader_election());
  }

  // Guarded quotas: sends heartbeats, switches fallback shares, and transfers ledgers to their new leaders.
  void run_guarded() {
    if (!settings_.guarded || now_ < next_guarded_run_) return;
    next_guarded_run_ = now_ + transport().heartbeat_check_interval().count();
    transport().update_heartbeats(time());
    for (auto& [hash, account] : accounts_) {
      if (account.plan)
        account.guarded_quota.update_fallback(leader_election(), hash, settings_.index, time());
    }
    ledgers().start_transfers(settings_.index, shutting_down_, time());
    ledgers().send_transfers(
        settings_.index, time(), [this](int to, const ledger::PendingTransfer& transfer) {
          transport().enqueue(
              to, {transfer.plan, transfer.customer, ledger::Transfer{transfer.level, transfer.number}});
        });
  }
  void on(const ShuttingDown&) { shutting_down_ = true; }
  void on(const HandedOver& handed) { active_elsewhere_ = handed.active_elsewhere; }
  void on(const SpentElsewhere& spent) {
    const auto account = accounts_.find(spent.customer);
    if (account == accounts_.end() || !account->second.plan) return;
    refill(account->second);
    spent.settled ? settle(account->second, spent.units) : spend(account->second, spent.units);
  }

  void tick() {
    last_tick_ = now_;
    run_guarded();
    if (now_ >= next_split_) {
      next_split_ = (now_ / kSubperiod + 1) * kSubperiod;
      refill_cold_tokens(now_ - std::exchange(cold_tokens_refilled_at_, now_));
    }
    // State that modules share is processed by the first of them in each subperiod.
    if (now_ >= quota_state_->next_split) {
      quota_state_->next_split = (now_ / kSubperiod + 1) * kSubperiod;
      for (auto& [hash, ledger] : ledgers().all()) split_ledger(ledger, -1);
      erase_idle();
    }
    due_queue_.process_due(time(), [this](std::uint32_t hash) -> std::optional<ledger::Time> {
      auto& account = accounts_.at(hash);
      const ledger::Time next_check(request_lease(account));
      return account.held_requests > 0 || account.changed || account.requested_at > account.answered_at
                 ? std::optional(next_check)
                 : std::nullopt;
    });
    release_held();
    check_attempts();
    next_tick_ = now_;
  }

  // Erases idle state. An account goes once its bucket is full again; its totals are told from those of a
  // later one by the leader epoch. A ledger goes once it is full.
  void erase_idle() {
    ledgers().erase_idle(time(), ledger::Time(forget_after(ledgers().all().size())));
    quota_state_->shed_table.erase_expired(time());
    const auto after = forget_after(accounts_.size());
    ledger::erase_some(accounts_, quota_state_->erase_cursor, [&](const auto& item) {
      const auto& [hash, account] = item;
      if (account.held_requests > 0 || account.open_attempts > 0 || due_queue_.contains(hash)) return false;
      if (!account.plan) return true;
      const auto idle_time = now_ - std::max(account.refilled_at, account.requested_at);
      const double tokens = account.tokens + account.plan->rate * static_cast<double>(idle_time) / kSecond;
      const double share = isolated() ? 1.0 / account.spread : 1;
      if (idle_time <= after || (account.plan->rate > 0 && tokens < account.plan->burst * share))
        return false;
      quota_state_->erased_epoch = std::max(quota_state_->erased_epoch, account.leader_epoch);
      return true;
    });
  }

  // How long an account or a ledger is kept that is not used, where there are so many of them.
  Nanos forget_after(std::size_t count) const {
    // Guarded quotas: claims are told apart by the number of the request, which would begin anew.
    if (settings_.guarded) return count < kManyGuardedAccounts ? kForgetAfterIfFew : kForgetAfter;
    return count < kManyAccounts ? kForgetAfterIfFew : kForgetAfterIfMany;
  }

  // Sets the timer: to the next tick while anything waits, else to the next subperiod.
  void set_timer() {
    const bool waiting = !jobs_.empty() || transport().has_pending() || ledgers().has_transfers();
    const auto due = waiting ? 0 : due_queue_.next_due().value_or(ledger::Time(next_split_)).count();
    auto at = std::min(next_split_, std::max<Nanos>(due, last_tick_ + kTick));
    if (settings_.guarded) at = std::min(at, next_guarded_run_);
    if (at != next_tick_ || at <= now_) act(SetTimer{kTimerToken, next_tick_ = std::max(at, now_ + 1)});
  }

  const Settings settings_;
  std::mt19937_64 random_;
  const std::shared_ptr<QuotaState> quota_state_;
  const std::vector<PlanSettings>& plans_ = quota_state_->plans;
  std::uint32_t& generation_ = quota_state_->generation;
  std::map<std::uint32_t, Account>& accounts_ = quota_state_->accounts;
  ledger::DueQueue& due_queue_ = quota_state_->due_queue;
  Nanos& started_at_ = quota_state_->started_at;
  Nanos now_ = 0;
  std::vector<Action>* actions_ = nullptr;
  bool started_ = false;
  bool servers_idle_ = false;      // as of the last choice of a server
  bool shutting_down_ = false;     // leads no ledger any more
  bool active_elsewhere_ = false;  // another process serves in its place
  bool servers_full_ = false;      // no server had room for a held request at the last check
  bool lease_changed_ = false;     // leases have come since the last check of held requests
  Nanos next_guarded_run_ = 0, next_split_ = 0, next_tick_ = 0, last_tick_ = 0, cold_tokens_refilled_at_ = 0;
  pool::AnswerTimes answer_times_{kInitialLatencyAimShare};
  pool::Load load_;
  const pool::Windows windows_{settings_.gateways};
  std::uint64_t unplaced_outcomes_ = 0;
  int uploads_out_ = 0;  // attempts whose request's body is not whole yet
  const pool::ColdStart cold_start_{settings_.cold_from, settings_.warm_up, settings_.gateways};
  double recent_answers_ = 0;  // decays over kAnswerRateWindow
  double hedge_tokens_ = 0;
  Server new_server_;  // initial state of a server
  std::vector<Server> servers_;
  std::map<std::string, pool::BudgetsSeen> budgets_;  // by class
  pool::LastBudgets last_budgets_;
  std::map<std::string, int> server_index_;  // into servers_, by id
  std::map<std::string, Job> jobs_;
  std::vector<std::string> held_requests_, finished_requests_;
};

DecisionModule::DecisionModule(const Settings& settings) : impl_(std::make_unique<Impl>(settings)) {}
DecisionModule::DecisionModule(const Settings& settings, const DecisionModule& shares)
    : impl_(std::make_unique<Impl>(settings, shares.impl_->quota_state())) {}
DecisionModule::~DecisionModule() = default;
DecisionModule::DecisionModule(DecisionModule&&) noexcept = default;
DecisionModule& DecisionModule::operator=(DecisionModule&&) noexcept = default;
std::optional<Allowance> DecisionModule::allowance(Nanos now, const std::string& customer) const {
  return impl_->allowance(now, customer);
}
std::string DecisionModule::save() const { return impl_->save(); }
bool DecisionModule::restore(Nanos now, const std::string& state, std::vector<Action>& actions) {
  return impl_->restore(now, state, actions);
}
Outstanding DecisionModule::outstanding() const { return impl_->outstanding(); }
std::map<std::string, int> DecisionModule::attempts_by_server() const { return impl_->attempts_by_server(); }
std::uint64_t DecisionModule::unplaced_outcomes() const { return impl_->unplaced_outcomes(); }
std::size_t DecisionModule::unavailable_servers(Nanos now) const { return impl_->unavailable_servers(now); }
std::string DecisionModule::guard_report(Nanos now) const { return impl_->guard_report(now); }
void DecisionModule::step(Nanos now, const std::vector<Event>& events, std::vector<Action>& actions) {
  impl_->step(now, events, actions);
}

}  // namespace cranemux
