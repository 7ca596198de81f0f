// cranemux: every decision of a quota gateway. Interface: include/cranemux/decision_module.h
//
// Contents: tuned values; records; quota ledger and split, ceilings; held requests; peer messages; keepers;
// server choice and health; attempts and answers; the clock.
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

// ---- tuned values -------------------------------------------------------------------------------

constexpr Nanos kMs = 1'000'000;
constexpr Nanos kSecond = 1'000 * kMs;

constexpr Nanos kSubperiod = 250 * kMs;        // the design's; short against every aim seen
constexpr Nanos kTick = 10 * kMs;              // held requests and time-outs are looked at this often
constexpr Nanos kCreditLife = 2 * kSubperiod;  // credits older than this are stale (after a stall)
constexpr Nanos kAnswerMargin = 8 * kMs;       // the final answer leaves this long before the deadline
constexpr double kHoldOfAim = 0.5;             // hold bound without a credit, as a share of the aim
constexpr double kHoldTold = 0.2;              // and where the keeper has said that it has none
constexpr double kRepeatAge = 0.3;             // of the aim: age of a marked repeat whose budget tells none
constexpr Nanos kHoldBound = 500 * kMs;        // and never longer than two subperiods
constexpr double kOtherZone = 1.15;            // a server in another zone must be this much better
constexpr double kFirstLatency = 0.15;         // of the aim: guess for the mean answer, before the first
constexpr double kOpening = 40;         // reluctance to open a connection, for each try that it is worth
constexpr double kGood = 0.25;          // answers within this share of the aim open the window
constexpr double kBad = 0.4;            // answers past this share of the aim close it
constexpr Nanos kCutEvery = 100 * kMs;  // late answers closer together are one piece of news
constexpr double kIdle = 0.3;           // of the windows in use: under it servers take more
constexpr double kQueueOfAim = 0.2;     // wait for a server with a credit, as a share of the aim
constexpr int kStrikes = 3;             // failures in a row that eject a server
constexpr int kDoubt = 2;               // and by then what is late there is called off to try elsewhere
constexpr Nanos kEject = 2 * kSecond;   // first ejection; doubles up to kEjectMax
constexpr Nanos kEjectMax = 4 * kSecond;
constexpr double kTimeoutMin = 0.30, kTimeoutMax = 0.50;  // of the aim: when to try elsewhere
constexpr double kHedgeShare = 0.08;                      // second copies for each first attempt, at most
constexpr Nanos kRateWindow = 4 * kSecond;                // memory of the own rate of answers
constexpr double kColdTurn = 0.01;  // a turn at a cold server goes before any other: it is gone if not used
constexpr double kHolding = 0.25;   // of a set: gateways that hold requests of a customer at once
constexpr Nanos kForget = 60 * kSecond;     // what nobody has asked about for so long may be forgotten ...
constexpr Nanos kRemember = 300 * kSecond;  // ... or for so long, while it is not too many
constexpr std::size_t kManyAccounts = 16384;

constexpr Nanos kUploadMost = 3600 * kSecond;  // a body on its way: its sender sees to its end

// ---- records ------------------------------------------------------------------------------------

using ledger::Account;
using ledger::Ledger;  // of a customer whose keeper this gateway is
using ledger::QuotaState;
using pool::Server;
struct Attempt {
  int server = 0;
  Nanos sent = 0;
  bool out = true, may_have_run = true, cut = false;
};

struct Job {
  Request request;
  const ClassSettings* klass = nullptr;
  std::uint32_t account = 0;
  Nanos arrived = 0, deadline = 0, goal = 0, hold_until = 0, next_try = 0;
  bool admitted = false, done = false, beyond = false;
  double lot = 0;  // where customers are throttled
  int out = 0;
  std::vector<Attempt> attempts;
};

}  // namespace

class DecisionModule::Impl {
 public:
  explicit Impl(const Settings& settings, const std::shared_ptr<QuotaState>& books = nullptr)
      : s_(settings), random_(settings.seed), books_(books ? books : std::make_shared<QuotaState>()) {
    config::check(settings);
    if (!books) {
      books_->plans = s_.plans;
      life_ = static_cast<std::uint32_t>(random_() & 0xffffU);
    }
    if (plans_ != s_.plans) throw std::invalid_argument("cranemux: shared quotas need equal plans");
    fresh_.window = windows_.first();
  }

  const std::shared_ptr<QuotaState>& books() const { return books_; }

  std::optional<Allowance> allowance(Nanos now, const std::string& customer) const {
    const auto at = accounts_.find(ledger::hash_of(customer));
    return at == accounts_.end() ? std::nullopt : ledger::allowance_of(at->second, now);
  }

  std::size_t unavailable_servers(Nanos now) const {
    return static_cast<std::size_t>(std::count_if(servers_.begin(), servers_.end(), [&](const Server& s) {
      return s.entry.state == ServerState::draining ||
             (s.entry.state == ServerState::running && s.ejected_until > now);
    }));
  }

  std::string guard_report(Nanos now) const {
    if (!s_.guarded || !books_->transport) return {};
    const auto on = std::count_if(accounts_.begin(), accounts_.end(), [](const auto& a) {
      return a.second.guarded_quota.fallback_share.active();
    });
    return ledger::tier_report(*books_->transport, *books_->ledgers, static_cast<std::size_t>(on),
                               ledger::Time(now));
  }

  std::string save() { return s_.guarded || !started_ ? std::string() : handover::save(memory()); }

  bool restore(Nanos now, const std::string& bytes, std::vector<Action>& actions) {
    auto state = handover::read(bytes, s_, now);
    if (!state || s_.guarded || started_) return false;
    now_ = now;
    actions_ = &actions;
    life_ = state->life;
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
    if (freed_ && now_ < next_tick_) release_held();
    if (now_ >= next_tick_) tick();
    transport().send_due(time(), [this](int to, std::string bytes) {
      act(SendToPeer{to, std::move(bytes)});
    });
    wake();
  }

 private:
  handover::Memory memory() {
    return {*books_, served_recently_, hedge_tokens_, budgets_, servers_, by_id_, s_.classes};
  }

  template <typename T>
  void act(T action) {
    actions_->emplace_back(std::move(action));
  }

  // ---- quota ledger and split -------------------------------------------------------------------

  double weight_of(double units) const { return ledger::request_weight(units, s_.most_units); }

  // How far a store may go below nothing: settled differences may be as large as it is.
  double debt_of(const PlanSettings& plan) const {
    return -(s_.settles ? std::max(s_.most_units, plan.burst) : s_.most_units);
  }

  void open_account(Account& a, const Request& request) {
    const auto* const before = a.plan;
    if (before && s_.guarded) return;  // by its first plan, until it is forgotten
    if (before) fill(a);
    for (const auto& plan : plans_) {
      if (plan.name == request.plan) a.plan = &plan;
    }
    if (a.plan == before) return;  // a plan that the settings do not name has no quota: refused
    a.hash = ledger::hash_of(request.customer);
    a.first = std::clamp(request.first, 0, s_.gateways - 1);
    a.spread = std::clamp(request.spread, 1, s_.gateways);
    if (!s_.guarded && s_.dedicated_leaders == 0)
      a.shards = ledger::shard_count(a.plan->rate, a.plan->burst, s_.most_units,
                                     ledger::kMessageShare * s_.peer_messages_per_s, a.spread);
    a.shard = s_.index % a.shards;
    if (before) return ledger::go_by_plan(a);
    a.refilled_at = started_at_;
    if (s_.guarded) return;
    a.tokens = a.confirmed_tokens = a.reported_allowance = a.plan->burst;  // until a keeper tells more
    // At first D splits evenly, and its share may be spent while the question is out; but not before the
    // store has filled again from what an earlier life of this gateway may have spent.
    const double refilled = a.plan->rate > 0 ? a.plan->burst / a.plan->rate * kSecond : 0;
    if (static_cast<double>(now_ - started_at_) >= refilled) a.answered_at = now_;
    fill(a);
    if (s_.dedicated_leaders > 0) books_->meet(a, 2 * s_.most_units, time());
  }

  // A gateway that hears none of the others spends its even share alone.
  bool alone() const { return leader_selection().isolated(time()); }

  ledger::Time time() const { return ledger::Time(now_); }
  ledger::Transport& transport() const { return *books_->transport; }
  ledger::LeaderSelection& leader_selection() const { return *books_->leader_selection; }
  ledger::Ledgers& ledgers() const { return *books_->ledgers; }
  const ledger::LeaderElection& leader_election() const { return *transport().leader_election(); }
  bool guarded(const Account& a) const { return s_.guarded && a.plan->rate > 0; }
  // Every gateway's part of a guarded quota is even: what a customer says of its set is not relied upon.
  double part(double whole) const { return whole / s_.gateways; }

  // The plan's store fills continuously, so D does too.
  void fill(Account& a) {
    const double seconds = static_cast<double>(now_ - a.refilled_at) / kSecond;
    a.refilled_at = now_;
    const double part = alone() ? 1.0 / a.spread : 1;
    const double most = std::max(a.plan->burst * part, std::min(s_.most_units, a.plan->burst));
    // From here on its even share is all that it has: a request's worth of what was left by the last word,
    // and somewhere between two requests, so that all together spend at the plan's rate.
    if (alone() && !a.isolated && a.plan->burst > 0)
      a.tokens = std::min(a.confirmed_tokens / a.plan->burst * most + drawn(), most);
    // The others have spent their even shares likewise: its own tells how much of the whole is left.
    if (a.isolated && !alone() && a.tokens > 0) a.tokens *= a.spread;
    a.isolated = alone();
    a.tokens = std::min(most, a.tokens + a.plan->rate * part * seconds);
    a.confirmed_tokens = std::min(a.confirmed_tokens, a.tokens);
    a.reported_allowance = std::min(a.plan->burst, a.reported_allowance + a.plan->rate * seconds);
    // Each gateway keeps the hard ceiling alone: a store of its even part, empty at every start, since an
    // earlier life may have just spent it.
    a.ceiling_tokens = std::min(a.plan->ceiling_burst / a.spread,
                                a.ceiling_tokens + a.plan->ceiling_rate / a.spread * seconds);
  }

  // Where a plan bounds both, attempts out at once are bounded by even parts: no word of the others is in
  // time for attempts that last as long as a message.
  bool has_place(const Account& a) const { return ledger::has_place(a, s_.index, s_.gateways); }

  // An even share of D, while word of it is fresh, is spent at once; else what a keeper has granted.
  bool has_credit(const Account& a, const Job& job) const {
    const double units = job.request.units;
    if (!has_place(a)) return false;
    if (guarded(a)) {
      return a.guarded_quota.covers(a.used_units, units, part(a.plan->rate), part(a.plan->burst), time());
    }
    if (alone())
      return a.plan->rate > 0 ? a.tokens >= units : a.open_attempts * a.spread < a.plan->open_limit;
    if (a.optimistic_lease.shedding(time())) return a.optimistic_lease.admits(job.lot);
    if (stands(a, units)) return true;
    if (now_ > a.answered_at + kCreditLife) return false;  // stale, as after a stall
    if (a.plan->rate > 0) {
      return static_cast<double>(a.used_units) + units <= static_cast<double>(a.limit) ||
             a.tokens >= units * a.spread;
    }
    return a.plan->open_limit > 0 && a.open_attempts < a.limit;
  }
  bool stands(const Account& a, double units) const {
    const bool heard =
        a.requested_at <= a.answered_at ||
        (a.unanswered_requests == 0 && now_ - a.requested_at <= ledger::kAnswerTimeout.count());
    return a.plan->rate > 0 &&
           a.optimistic_lease.covers(units, a.borrowable, a.tokens, a.plan->burst, heard, time());
  }
  // Short of time, a request whose question is not answered yet borrows from its gateway's next share.
  bool may_borrow(const Account& a, double units) const {
    if (guarded(a) || a.requested_at <= a.answered_at || !has_place(a))
      return false;  // its keeper has none left
    return a.plan->rate > 0 ? std::min(a.borrowable, a.confirmed_tokens) >= units
                            : a.open_attempts * a.spread < a.plan->open_limit;
  }
  // The next share of D, split among those that most likely hold requests too, rounded up to whole requests
  // where the draw is low. Only what a keeper has told counts, once: what filled since, and what a new life
  // takes for D, each gateway of a set would lend itself, again and again.
  double next_share(const Account& a) {
    const double share = std::max(0.0, a.confirmed_tokens / std::max(1.0, a.spread * kHolding));
    return share < s_.most_units && drawn() < share / s_.most_units ? s_.most_units : share;
  }

  void spend(Account& a, double units) {
    if (away_) act(SpentElsewhere{a.hash, units, false});
    a.ceiling_tokens -= units;
    if (guarded(a) &&
        !a.guarded_quota.spend(a.used_units, units, part(a.plan->rate), part(a.plan->burst), time()))
      return;
    a.used_units += std::llround(units);
    a.reported_allowance -= units;
    a.tokens = std::max(debt_of(*a.plan), a.tokens - units);
    a.confirmed_tokens = std::max(debt_of(*a.plan), a.confirmed_tokens - units);
    if (a.used_units <= a.limit) return;
    if (a.isolated) {  // its even share is its own: nobody counts it again after the heal
      a.limit = a.used_units;
      ++a.leader_epoch;
      return;
    }
    note(a);  // it was not granted: the keeper must hear of it
    a.borrowable -= units;
    a.optimistic_lease.spend(a.borrowable, time());
  }

  // ---- held requests ----------------------------------------------------------------------------

  void on(const Request& request) {
    Job job;
    job.request = request;
    job.klass = &s_.classes.front();
    for (const auto& c : s_.classes) {
      if (c.name == request.klass) job.klass = &c;
    }
    job.arrived = now_;
    if (s_.dedicated_leaders > 0) job.lot = drawn();
    job.goal = job.deadline = now_ + kUploadMost;
    if (!request.uploading) begin(job);
    const auto hold = static_cast<Nanos>(kHoldOfAim * static_cast<double>(job.klass->aim));
    job.hold_until = std::min(now_ + std::min(kHoldBound, hold), job.goal);
    job.account = ledger::hash_of(request.customer);
    auto& a = accounts_[job.account];
    if (!a.plan || a.plan->name != request.plan) open_account(a, request);
    auto [at, fresh] = jobs_.try_emplace(request.id, std::move(job));
    if (!fresh) return;
    // Past its aim a request may earn nothing; a credit is better kept for one that can.
    const bool too_late = now_ >= at->second.goal && !late_pays(at->second);
    at->second.admitted = request.budget <= kAnswerMargin || too_late;  // it is never in the queue
    if (at->second.admitted) return finish(at->second);
    held_.push_back(request.id);
    a.held_requests += 1;
    a.held_weight += weight_of(request.units);
    a.held_units += request.units;
    a.hold_until = std::max(a.hold_until, std::min(at->second.hold_until, told_hold(at->second)));
    if (a.held_requests == 1 && !pressed_) release(at->second);
    if (a.held_requests > 0) {
      note(a);
      seek(a);
    }
    if (at->second.admitted || at->second.done) held_.pop_back();
  }

  // Its last byte has come: its time begins.
  void begin(Job& job) {
    job.deadline = now_ + job.request.budget;
    const auto age = age_of(job.request, *job.klass);
    job.goal = std::min(now_ + job.klass->aim - age, job.deadline - kAnswerMargin);
  }
  void on(const Uploaded& uploaded) {
    if (const auto at = jobs_.find(uploaded.request); at != jobs_.end()) begin(at->second);
  }

  // A later try's budget tells its age, and the aim counts from the first.
  Nanos age_of(const Request& request, const ClassSettings& klass) {
    if (pool::later_try(budgets_[klass.name], request.budget / kMs))
      return std::max<Nanos>(0, klass.give_up - request.budget);
    // A repeat with a first try's budget is at least one hold and one wait old.
    return request.repeat ? static_cast<Nanos>(kRepeatAge * static_cast<double>(klass.aim)) : 0;
  }

  // Once its keeper has answered, a request hopes for the next shares only so long: refused sooner, its
  // client comes again within the aim.
  Nanos hold_of(const Job& job, const Account& a) const {
    if (a.optimistic_lease.shedding(time())) return job.arrived;  // no word will come in time
    return a.requested_at > a.answered_at ? job.hold_until : std::min(job.hold_until, told_hold(job));
  }
  static Nanos told_hold(const Job& job) {
    return job.arrived + static_cast<Nanos>(kHoldTold * static_cast<double>(job.klass->aim));
  }

  // True if the held job has left the queue.
  bool release(Job& job) {
    auto& a = accounts_[job.account];
    if (a.plan) fill(a);
    const double units = job.request.units;
    const bool room = a.plan && (a.plan->ceiling_rate <= 0 || a.ceiling_tokens >= units);
    const bool credit = room && has_credit(a, job);
    // Servers are only looked through for what could go: at full size that is most of the CPU.
    const auto hold = hold_of(job, a);
    const int server = credit || (room && now_ >= hold) ? choose(job) : -1;
    pressed_ = pressed_ || (credit && server < 0);
    if (server >= 0 && (credit || may_borrow(a, units))) {
      spend(a, units);
      leave_queue(job, a);
      send(job, server);
      return true;
    }
    const auto wait = static_cast<Nanos>(kQueueOfAim * static_cast<double>(job.klass->aim));
    const auto last = credit || (a.plan && a.plan->rate <= 0) ? std::min(job.goal, job.arrived + wait) : hold;
    if (now_ < last) return false;
    leave_queue(job, a);
    if (!credit && a.optimistic_lease.shedding(time())) {
      a.optimistic_lease.record_shed(units, time());
      note(a);
    }
    // Where a plan earns more beyond its quota than it costs, idle servers take what would be refused.
    if (server >= 0 && idle_ && room && a.plan->over_worth > a.plan->over_cost) {
      a.ceiling_tokens -= units;
      job.beyond = true;
      send(job, server);
    } else {
      finish(job);
    }
    return true;
  }

  void leave_queue(Job& job, Account& a) {
    job.admitted = true;
    a.held_requests -= 1;
    a.held_weight = a.held_requests > 0 ? std::max(0.0, a.held_weight - weight_of(job.request.units)) : 0;
    a.held_units = a.held_requests > 0 ? a.held_units - job.request.units : 0;
    a.requested_units = std::min(a.requested_units, a.held_units);
    if (a.limit > a.used_units) note(a);  // what it will not use goes back
  }

  // Under pressure worth, for a class's aim as a measure of its work, decides who gets a server first.
  double worth_of(const Job& job) {
    const auto* plan = accounts_[job.account].plan;
    return job.klass->worth * (plan ? plan->price : 1) / static_cast<double>(job.klass->aim);
  }

  void release_held() {
    std::erase_if(held_, [&](const auto& id) { return !jobs_.count(id) || jobs_.at(id).admitted; });
    if (pressed_) {
      std::stable_sort(held_.begin(), held_.end(), [&](const auto& a, const auto& b) {
        return worth_of(jobs_.at(a)) > worth_of(jobs_.at(b));
      });
    }
    pressed_ = freed_ = false;
    std::vector<std::string> left;
    for (auto& id : held_) {
      if (!release(jobs_.at(id))) left.push_back(std::move(id));
    }
    held_ = std::move(left);
    sweep();
  }

  // ---- peer messages ----------------------------------------------------------------------------

  void on(const PeerMessage& message) {
    const auto letter = transport().receive(message.from, message.bytes, time());
    if (!letter) return;
    leader_selection().record_message(message.from, time());
    for (const auto& entry : letter->entries) {
      if (entry.plan >= plans_.size() || !ledger::plausible(entry)) return;
      std::visit([&](const auto& said) { handle(message.from, entry, said, letter->generation); },
                 entry.message);
    }
  }
  void handle(int from, const ledger::Entry& entry, const ledger::Lease& lease, std::uint32_t) {
    const auto a = accounts_.find(entry.customer);
    if (lease.generation != life_ || a == accounts_.end()) return;
    // Of a replica that was asked while nobody was heard. Its leader can be asked, at once.
    if (leader_selection().is_stale_answer(a->second, from, keeper_of(a->second)))
      return agenda_.schedule(entry.customer, time());
    granted(a->second, static_cast<std::int64_t>(lease.limit), lease.level,
            static_cast<std::uint32_t>(lease.number),
            ledger::kPauseStep * static_cast<int>(std::min<std::uint64_t>(lease.pause, 255)),
            lease.open == 1);
  }
  void handle(int from, const ledger::Entry& entry, const ledger::Transfer& transfer, std::uint32_t) {
    ledgers().receive_transfer(open_ledger(entry, 1), from, leader_election().generations_seen(from),
                               transfer.level, transfer.number, time());
  }
  void handle(int, const ledger::Entry& entry, const ledger::ShedShare& shed, std::uint32_t) {
    const auto share = static_cast<int>(std::min<std::uint64_t>(shed.share, ledger::kWholeShare));
    books_->throttle({entry.plan, entry.customer, share}, time());
  }

  // ---- keepers ----------------------------------------------------------------------------------

  // The split of a customer's D is made by one gateway for all, its keeper, named by its hash: it is told
  // what is held and used, splits D among those that hold, and grants the credits. For all to hear all, as
  // the paper has it, is more than peers take in; and over many gateways an even share is under one credit
  // and would be stranded. It is of the customer's own set, so a part of its requests needs no mail; the next
  // of the set stand in where it does not answer. Figures are totals of a life: loss and repeats mend
  // themselves.

  int keeper_of(const Account& a) const {
    if (s_.guarded) return leader_election().leader(a.hash);
    return leader_selection().leader_for(
        a, [this](int member) { return transport().dedicated_leader_failed(member, time()); }, time());
  }

  void note(Account& a) {
    if (!a.plan) return;
    a.changed = true;
    agenda_.schedule(a.hash, time());
  }

  // Asks at once for what is newly held; again for what nobody answered, and each subperiod. Returns when to
  // look again.
  Nanos seek(Account& a) {
    const bool waits = ledger::awaits_answer(a);
    const bool gathers = a.held_requests == 0 && !waits && a.optimistic_lease.only_reports(time());
    if (gathers && a.optimistic_lease.due() > time()) return a.optimistic_lease.due().count();
    const bool report = gathers && !a.optimistic_lease.needs_renewal(a.borrowable, time());
    int keeper = keeper_of(a);
    const bool none = a.confirmed_tokens < a.shards;  // its part had none left
    const ledger::Time spent(keeper != s_.index && none ? a.request_pause : 0);
    const auto next = leader_selection().next_request_at(a, keeper, spent, time());
    if (!report && time() < next) return std::min(next.count(), now_ + kSubperiod);
    if (leader_selection().start_request(
            a, keeper, [this] { return drawn(); }, time()))
      keeper = keeper_of(a);
    if (a.held_requests == 0 && !a.changed && !waits) return now_;
    fill(a);
    if (none && !waits && a.shards > 1 && a.used_units >= a.limit) {  // another part may have some
      a.shard = (a.shard + 1) % a.shards;
      keeper = keeper_of(a);
    }
    if (keeper != std::exchange(a.leader, keeper)) ++a.leader_epoch;
    a.changed = a.plan->rate <= 0 && a.open_attempts > 0;  // attempts out are a lease: told of while it lasts
    if (!report) a.requested_at = now_;
    a.requested_units = a.held_units;
    if (keeper < 0) return now_;
    const auto plan = static_cast<std::uint32_t>(a.plan - plans_.data());
    const auto entry = ledger::entry_of(a, plan, guarded(a), report, time());
    if (keeper != s_.index && !report) leader_selection().record_request(keeper);
    if (keeper != s_.index || alone())
      transport().enqueue(keeper, entry);
    else
      handle(keeper, entry, std::get<ledger::LeaseRequest>(entry.message), life_);
    return now_;
  }

  Ledger& open_ledger(const ledger::Entry& entry, std::uint64_t of_parts) {
    const auto& plan = plans_[entry.plan];
    const auto parts = static_cast<std::uint32_t>(of_parts);
    return ledgers().open({entry.customer, entry.plan, plan.rate / parts, plan.burst / parts, debt_of(plan),
                           0, parts, s_.dedicated_leaders > 0},
                          time());
  }

  // As keeper: what `from` used beyond its limit was borrowed, what it no longer wants comes back.
  void handle(int from, const ledger::Entry& entry, const ledger::LeaseRequest& request, std::uint32_t life) {
    const auto ask = ledger::ask_of(request, life, s_.guarded);
    if (s_.guarded && (ends_ || !ledgers().has_leadership(entry.customer, time())))
      return refuse(from, entry, ask);
    auto& ledger = open_ledger(entry, request.shards);
    if (ledger.plan != entry.plan || ledger.shards != request.shards) return;
    ledgers().fill(ledger, time());
    ledger.requested_at = time();
    if (from != s_.index && ask.wanted > 0) {
      const double most = ledger::kMessageShare * s_.peer_messages_per_s;
      ledger.pacing.record_request({ledger.rate, most, s_.gateways, ledger.claims.size() + 1}, time());
    }
    // What another keeper has granted since is not in this ledger, which filled all the same: where it does
    // not know all that was asked, the least told level counts.
    if (!s_.guarded && !ledger.has_current_claim(from, ask)) {
      ledger.tokens = std::min(ledger.tokens, ledger::decode_level(ledger.burst, request.level));
    }
    if (!ledger.merge(from, ask, time())) return;
    const bool told = ask.report && (s_.dedicated_leaders == 0 ||
                                     (ask.share < ledger::kWholeShare) != ledger.load_shedder.active());
    share_out(ledger, ask.report ? -1 : from, told ? from : -1);
  }

  // Without the right to keep: the asking gateway may turn to its part.
  void refuse(int from, const ledger::Entry& entry, const ledger::Demand& ask) {
    if (from == s_.index) return;
    const auto used = static_cast<std::uint64_t>(ask.used);
    transport().enqueue(from, {entry.plan, entry.customer,
                               ledger::Lease{ask.generation & 0xffffU, used, 0, ask.number, 0, 0}});
  }

  // `asker` is answered anyway; whoever has only reported, `told`, if it should not go on so.
  void share_out(Ledger& ledger, int asker, int told = -1) {
    ledgers().fill(ledger, time());
    if (!ledgers().has_leadership(ledger.customer, time())) return;
    const auto& plan = plans_[ledger.plan];
    const ledger::SplitOptions terms{s_.most_units, plan.rate > 0 ? 0 : plan.open_limit, asker};
    for (const int gateway : ledger::split(ledger, terms, time(), random_)) {
      if (gateway != asker) grant(ledger, gateway);
    }
    if (asker >= 0) grant(ledger, asker);
    if (s_.guarded || plan.rate <= 0) return;
    if (s_.dedicated_leaders > 0) {
      const auto share = ledger.load_shedder.update(ledger.tokens, ledger.rate, ledger.burst, time());
      if (share) return transport().notify_all({ledger.plan, ledger.customer, *share});
      if (told >= 0)
        transport().notify(told, {ledger.plan, ledger.customer, ledger.load_shedder.announced_share()});
      return;
    }
    const bool all = ledger.low_watermark.update(ledger.tokens, ledger.burst, time());
    if (!all && told >= 0 && ledger.low_watermark.below(time())) grant(ledger, told);
    for (auto at = ledger.claims.begin(); all && at != ledger.claims.end(); ++at) {
      if (at->first != asker) grant(ledger, at->first);
    }
  }

  void grant(const Ledger& ledger, int to) {
    const auto& claim = ledger.claims.at(to);
    const auto level = ledger::encode_level(ledger.burst, ledger.tokens);
    const auto number = s_.guarded ? claim.number : claim.leader_epoch;
    const bool open = s_.guarded || (ledger.rate > 0 && !ledger.below_low_watermark(time()));
    if (to == s_.index)
      return granted(accounts_[ledger.customer], claim.limit, level, number, ledger::Time(0), open);
    ledger::Lease lease{claim.generation & 0xffffU, static_cast<std::uint64_t>(claim.limit), level, number};
    lease.pause = static_cast<std::uint64_t>(ledger.pacing.pause() / ledger::kPauseStep);
    lease.open = open ? 1 : 0;
    transport().enqueue(to, {ledger.plan, ledger.customer, lease});
  }

  // `open`: the keeper has the right, where quotas are guarded; else, its store is far from empty.
  void granted(Account& a, std::int64_t limit, std::uint64_t level, std::uint32_t number, ledger::Time pause,
               bool open) {
    if (!a.plan) return;
    fill(a);
    if (guarded(a)) {
      if (!open) a.guarded_quota.refused(number, time());
      if (!open) return a.guarded_quota.update_fallback(leader_election(), a.hash, s_.index, time());
      if (!a.guarded_quota.lease.apply_grant(number, limit, time())) return;
      a.guarded_quota.no_leader_until = ledger::Time(-1);
      limit = a.guarded_quota.lease.limit();
    } else if (number != a.leader_epoch) {
      return;  // of a keeper that is not asked any more
    }
    a.limit = limit;
    if (a.plan->rate > 0 && a.used_units > limit) note(a);  // spent while it was given back
    a.answered_at = std::max(now_, a.requested_at);
    a.last_answered_shard = a.shard;
    a.request_pause = pause.count();
    a.tokens = a.confirmed_tokens = ledger::decode_level(a.plan->burst, level);
    a.borrowable = std::max(next_share(a), open && !s_.guarded ? 2 * s_.most_units : 0);
    a.optimistic_lease.update(open && !s_.guarded, a.borrowable, time());
    a.reported_allowance = std::min(a.plan->burst, a.tokens + static_cast<double>(limit - a.used_units));
    freed_ = true;
    if (a.held_requests > 0) agenda_.schedule(a.hash, time());
  }

  // ---- server choice and health -----------------------------------------------------------------

  void on(const ServerList& list) {
    if (list.scope == ListScope::failed && s_.list_on_request) act(WatchServers{});
    if (list.scope == ListScope::full || list.scope == ListScope::stored) {
      for (auto& server : servers_) server.entry.state = ServerState::removed;
    }
    for (const auto& entry : list.servers) {
      if (entry.state == ServerState::removed && !by_id_.contains(entry.id)) continue;
      const auto [at, fresh] = by_id_.try_emplace(entry.id, -1);
      if (fresh) at->second = place_for_server();
      auto& server = servers_[static_cast<std::size_t>(at->second)];
      if (fresh || server.entry.started != entry.started) {
        const int open = server.open;
        server = fresh_;
        server.open = open;
        server.cold_tokens = drawn();
      }
      server.entry = entry;
      server.listed = now_;
    }
  }

  // A server that went so long ago that no attempt and no request remembers it leaves its place to a new one.
  int place_for_server() {
    const auto old = std::find_if(servers_.begin(), servers_.end(), [&](const Server& s) {
      return s.entry.state == ServerState::removed && s.open == 0 && now_ - s.listed > kForget;
    });
    if (old == servers_.end()) {
      servers_.emplace_back();
      return static_cast<int>(servers_.size()) - 1;
    }
    by_id_.erase(old->entry.id);
    return static_cast<int>(old - servers_.begin());
  }

  // From 0 on, under 1. For a cold server it is where each gateway stands between two attempts: all together
  // they then send evenly.
  double drawn() { return static_cast<double>(random_() & 1023U) / 1024; }

  double warmth(const Server& server) const { return cold_start_.warmth(server, now_); }

  bool allowed(const Server& server) const {
    if (server.entry.state != ServerState::running) return false;
    if (server.ejected_until > 0 && (now_ < server.ejected_until || server.open > 0)) return false;
    if (warmth(server) < 1 && server.cold_tokens < 1) return false;
    return server.open < std::max(1.0, server.window);
  }

  // Until when it may go out again, where one of its attempts may have run.
  static Nanos repeats_end(const Job& job) {
    Nanos end = pool::kAnyTime;
    for (const auto& attempt : job.attempts) {
      if (attempt.may_have_run) end = std::min(end, pool::repeats_end(*job.klass, attempt.sent) - kTick);
    }
    return end;
  }
  bool in_group(const Job& job, const Server& server) const {
    return std::all_of(job.attempts.begin(), job.attempts.end(), [&](const Attempt& attempt) {
      const auto& ran = servers_[static_cast<std::size_t>(attempt.server)].entry;
      return !attempt.may_have_run || pool::drops_repeat(*job.klass, ran, server.entry);
    });
  }

  // Least expected time: own attempts out, times the mean answer time there.
  int choose(const Job& job) {
    int best = -1;
    double best_cost = 0;
    const auto [windows, open] = windows_.in_use(servers_);  // under pressure they hold back the sum, too
    idle_ = open < kIdle * windows;
    if (open > windows || now_ >= repeats_end(job)) return -1;
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      const auto& server = servers_[i];
      if (!allowed(server) || !in_group(job, server)) continue;
      double cost = times_.of(server) * (server.open + 1) * (warmth(server) < 1 ? kColdTurn : 1);
      if (now_ - server.last_ok_sent > s_.connection_idle) cost *= 1 + kOpening * s_.connection_price;
      if (server.entry.zone != s_.zone) cost *= kOtherZone;
      cost *= 1 + 0.05 * drawn();
      for (const auto& attempt : job.attempts) {
        if (attempt.server == static_cast<int>(i)) cost *= 100;
      }
      if (best < 0 || cost < best_cost) {
        best = static_cast<int>(i);
        best_cost = cost;
      }
    }
    return best;
  }

  // True if the server has answered nothing sent since: it, not the request, is to blame.
  bool suspect(const Attempt& attempt) const {
    return servers_[static_cast<std::size_t>(attempt.server)].last_ok_sent <= attempt.sent;
  }

  void judge(Server& server, const Job& job, const Attempt& attempt, const Outcome& outcome) {
    const auto aim = static_cast<double>(job.klass->aim);
    const auto took = static_cast<double>(outcome.took);
    const bool unanswered = outcome.result == Result::timeout || outcome.result == Result::cancelled;
    const bool timed = outcome.result == Result::ok || (unanswered && took > kTimeoutMin * aim);
    if (timed) times_.learn(server, took / aim);
    if (outcome.result == Result::ok) {
      served_recently_ += 1;
      server.last_ok_sent = std::max(server.last_ok_sent, attempt.sent);
      server.strikes = 0;
      server.ejected_until = server.ejected_for = 0;
    }
    const bool late = took > kBad * aim && (outcome.result == Result::ok || (unanswered && !attempt.cut));
    if (windows_.together()) {
      if (timed && !times_.slow(server)) windows_.scale(servers_, load_.change(took / aim));
    } else if (outcome.result == Result::ok && took < kGood * aim) {
      windows_.open(server);
    } else if ((outcome.result == Result::full || late) && now_ - server.cut_at >= kCutEvery) {
      windows_.close(server);
      server.cut_at = now_;
    }
    if (outcome.result == Result::reset || outcome.result == Result::connect_failed ||
        (unanswered && suspect(attempt) && took > kTimeoutMin * aim)) {
      if (++server.strikes < kStrikes && server.ejected_until == 0) return;
      server.ejected_for = std::min(kEjectMax, server.ejected_for > 0 ? server.ejected_for * 2 : kEject);
      server.ejected_until = now_ + server.ejected_for;
      act(Log{"ejected " + server.entry.id});
    }
  }

  void refill_cold(Nanos passed) {
    served_recently_ *= std::exp(-static_cast<double>(passed) / kRateWindow);
    const double per_s = served_recently_ * kSecond / kRateWindow;
    cold_start_.refill(servers_, per_s, passed, now_, [this] { return drawn(); });
  }

  // ---- attempts and answers ---------------------------------------------------------------------

  bool late_pays(const Job& job) const { return job.klass->late_share > 0; }
  Nanos end_of(const Job& job) const { return late_pays(job) ? job.deadline - kAnswerMargin : job.goal; }

  void send(Job& job, int server) {
    auto& target = servers_[static_cast<std::size_t>(server)];
    const auto aim = static_cast<double>(job.klass->aim);
    const auto wait = aim * std::clamp(3 * times_.of(target), kTimeoutMin, kTimeoutMax);
    job.next_try = now_ + static_cast<Nanos>(wait);
    const auto patience = end_of(job) - now_, whole_by = repeats_end(job);
    job.attempts.push_back({server, now_, true, true, false});
    job.out += 1;
    target.open += 1;
    target.cold_tokens -= 1;
    if (job.attempts.size() == 1) hedge_tokens_ = std::min(20.0, hedge_tokens_ + kHedgeShare);
    accounts_[job.account].open_attempts += 1;
    act(Send{job.request.id, target.entry.id, std::max<Nanos>(patience, kMs),
             whole_by == pool::kAnyTime ? 0 : whole_by});
  }

  bool may_repeat(const Job& job) const {
    if (static_cast<int>(job.attempts.size()) >= s_.max_attempts) return false;
    if (job.klass->repeat != Repeat::unsafe) return true;
    return std::none_of(job.attempts.begin(), job.attempts.end(),
                        [](const auto& a) { return a.may_have_run; });
  }

  void on(const Outcome& outcome) {
    const auto at = jobs_.find(outcome.request);
    if (at == jobs_.end()) return;
    auto& job = at->second;
    if (outcome.attempt < 0 || outcome.attempt >= static_cast<int>(job.attempts.size())) return;
    auto& attempt = job.attempts[static_cast<std::size_t>(outcome.attempt)];
    if (!attempt.out) return;
    attempt.out = false;
    attempt.may_have_run = outcome.result != Result::full && outcome.result != Result::connect_failed &&
                           outcome.result != Result::not_sent;
    job.out -= 1;
    auto& server = servers_[static_cast<std::size_t>(attempt.server)];
    server.open -= 1;
    judge(server, job, attempt, outcome);
    auto& a = accounts_[job.account];
    a.open_attempts -= 1;
    if (a.plan && a.plan->open_limit > 0) {  // its place is given back at once
      note(a);
      a.requested_units = -1;
      freed_ = true;
    }
    if (a.plan && outcome.settled_units > 0 && !job.beyond)
      settle(a, outcome.settled_units - job.request.units);
    if (outcome.finished || job.done) {
      close(job);
    } else if (job.out == 0) {
      try_again(job);
    }
  }

  void settle(Account& a, double difference) {
    if (away_) act(SpentElsewhere{a.hash, difference, true});
    fill(a);
    a.used_units = std::max<std::int64_t>(0, a.used_units + std::llround(difference));
    a.limit += std::llround(difference);
    a.reported_allowance -= difference;
    a.tokens = std::max(debt_of(*a.plan), a.tokens - difference);
    note(a);
  }

  void try_again(Job& job) {
    const auto least = static_cast<Nanos>(kFirstLatency / 2 * static_cast<double>(job.klass->aim));
    const int server = may_repeat(job) && job.goal - now_ > least ? choose(job) : -1;
    server >= 0 ? send(job, server) : finish(job);
  }

  // The module's own final answer. A refusal promises that nothing has run, or that it does not matter.
  void finish(Job& job) {
    bool may_have_run = false;
    for (const auto& attempt : job.attempts) may_have_run = may_have_run || attempt.may_have_run;
    if (may_have_run && !pool::harmless_once_run(*job.klass)) {
      act(Fail{job.request.id});
    } else {
      // Waiting out the longest advice makes a retry miss its aim and spend a credit for nothing: only a
      // request that has missed it already is asked to stay away.
      const auto stay_away = now_ >= job.goal ? s_.max_retry_after : 0;
      act(Refuse{job.request.id, s_.retry_after ? stay_away : back_in(job)});
    }
    close(job);
  }

  // For those who ask by other ways than the clients' own retries: when its units should be there again.
  Nanos back_in(const Job& job) {
    const auto& a = accounts_[job.account];
    const bool short_of = a.plan && a.plan->rate > 0 && a.tokens < job.request.units;
    const double seconds = short_of ? (job.request.units - a.tokens) / a.plan->rate : 0;
    return std::max(kSubperiod, static_cast<Nanos>(std::min(seconds, 60.0) * kSecond));
  }

  // The request has its answer: call off what is still out.
  void close(Job& job) {
    job.done = true;
    if (!job.admitted) leave_queue(job, accounts_[job.account]);
    for (std::size_t i = 0; i < job.attempts.size(); ++i) {
      if (job.attempts[i].out && s_.cancel) act(Cancel{job.request.id, static_cast<int>(i)});
    }
    if (job.out == 0) finished_.push_back(job.request.id);
  }

  void sweep() {
    for (const auto& id : finished_) jobs_.erase(id);
    finished_.clear();
  }

  void on(const ClientGone& gone) {
    const auto at = jobs_.find(gone.request);
    if (at != jobs_.end() && !at->second.done) close(at->second);
  }
  template <typename Other>
  void on(const Other&) {}  // timers only wake the clock below; the rest tells nothing needed

  // A late attempt at a server that answers nothing: a second copy where that is allowed (hedging),
  // else it is called off and sent elsewhere when that is confirmed. One attempt without an answer is no sign
  // of that: requests are few for each server, and a heavy one is as heavy elsewhere. Failures in a row are.
  void look_elsewhere(Job& job) {
    auto& attempt = job.attempts.back();
    const int strikes = servers_[static_cast<std::size_t>(attempt.server)].strikes;
    if (!attempt.out || !suspect(attempt) || strikes < kDoubt) return;
    if (s_.second_copies) {
      const int server = hedge_tokens_ >= 1 ? choose(job) : -1;
      if (server < 0) return;
      hedge_tokens_ -= 1;
      send(job, server);
    } else if (s_.cancel && !attempt.cut) {
      attempt.cut = true;
      act(Cancel{job.request.id, static_cast<int>(job.attempts.size()) - 1});
    }
  }

  void watch_attempts() {
    for (auto& [id, job] : jobs_) {
      if (job.done || !job.admitted) continue;
      if (now_ >= end_of(job) - (late_pays(job) ? kTick : 0)) {
        finish(job);
      } else if (job.out > 0 && now_ >= job.next_try && may_repeat(job)) {
        look_elsewhere(job);
      }
    }
    sweep();
  }

  // ---- the clock --------------------------------------------------------------------------------

  void start() {
    started_ = true;
    if (!books_->transport) open_books();
    next_split_ = (now_ / kSubperiod + 1) * kSubperiod;
    last_tick_ = refilled_ = now_;
    if (s_.list_on_request) act(WatchServers{});
  }

  void open_books() {
    started_at_ = now_;
    books_->next_split = (now_ / kSubperiod + 1) * kSubperiod;
    const double rate =
        ledger::message_rate(s_.peer_messages_per_s, s_.index, s_.gateways, s_.dedicated_leaders);
    const auto life = static_cast<std::uint16_t>(life_);
    books_->transport = std::make_unique<ledger::Transport>(
        ledger::TransportSettings{s_.gateways, s_.index, life, s_.message_bytes, rate, ledger::kMessageBurst,
                                  s_.peers, s_.guarded, s_.seed, s_.dedicated_leaders},
        time());
    books_->leader_selection = std::make_unique<ledger::LeaderSelection>(
        ledger::LeaderSelectionSettings{s_.gateways, s_.index, s_.dedicated_leaders, s_.guarded,
                                        ledger::Time(kSubperiod)},
        time());
    books_->ledgers = std::make_unique<ledger::Ledgers>(transport().leader_election());
  }

  // Where quotas are guarded: votes flow, parts turn on and off, and ledgers go to whose they are.
  void guard() {
    if (!s_.guarded || now_ < next_guard_) return;
    next_guard_ = now_ + transport().heartbeat_check_interval().count();
    transport().update_heartbeats(time());
    for (auto& [hash, a] : accounts_) {
      if (a.plan) a.guarded_quota.update_fallback(leader_election(), hash, s_.index, time());
    }
    ledgers().start_transfers(s_.index, ends_, time());
    ledgers().send_transfers(s_.index, time(), [this](int to, const ledger::PendingTransfer& h) {
      transport().enqueue(to, {h.plan, h.customer, ledger::Transfer{h.level, h.number}});
    });
  }
  void on(const ShuttingDown&) { ends_ = true; }
  void on(const HandedOver& handed) { away_ = handed.active_elsewhere; }
  void on(const SpentElsewhere& e) {
    const auto a = accounts_.find(e.customer);
    if (a == accounts_.end() || !a->second.plan) return;
    fill(a->second);
    e.settled ? settle(a->second, e.units) : spend(a->second, e.units);
  }

  void tick() {
    last_tick_ = now_;
    guard();
    if (now_ >= next_split_) {
      next_split_ = (now_ / kSubperiod + 1) * kSubperiod;
      refill_cold(now_ - std::exchange(refilled_, now_));
    }
    // What modules that hold quotas together share is looked at by the first of them whose turn comes.
    if (now_ >= books_->next_split) {
      books_->next_split = (now_ / kSubperiod + 1) * kSubperiod;
      for (auto& [hash, ledger] : ledgers().all()) share_out(ledger, -1);
      forget();
    }
    agenda_.process_due(time(), [this](std::uint32_t hash) -> std::optional<ledger::Time> {
      auto& a = accounts_.at(hash);
      const ledger::Time again(seek(a));
      return a.held_requests > 0 || a.changed || a.requested_at > a.answered_at ? std::optional(again)
                                                                                : std::nullopt;
    });
    release_held();
    watch_attempts();
    next_tick_ = now_;
  }

  // A quiet account goes once its store is full again, and after its keepers have dropped their claims, whose
  // totals would not fit its next ones. A ledger goes once it is full.
  void forget() {
    const auto after = accounts_.size() < kManyAccounts ? kRemember : kForget;
    ledgers().erase_idle(time(), ledger::Time(after));
    books_->throttled.erase_expired(time());
    ledger::erase_some(accounts_, books_->swept, [&](const auto& item) {
      const auto& [hash, a] = item;
      if (a.held_requests > 0 || a.open_attempts > 0 || agenda_.contains(hash)) return false;
      if (!a.plan) return true;
      const auto quiet = now_ - std::max(a.refilled_at, a.requested_at);
      const double level = a.tokens + a.plan->rate * static_cast<double>(quiet) / kSecond;
      const double part = alone() ? 1.0 / a.spread : 1;
      return quiet > after && (a.plan->rate <= 0 || level >= a.plan->burst * part);
    });
  }

  // Timers only while something waits; the subperiod's otherwise.
  void wake() {
    const bool works = !jobs_.empty() || transport().has_pending() || ledgers().has_transfers();
    const auto due = works ? 0 : agenda_.next_due().value_or(ledger::Time(next_split_)).count();
    auto at = std::min(next_split_, std::max<Nanos>(due, last_tick_ + kTick));
    if (s_.guarded) at = std::min(at, next_guard_);
    if (at != next_tick_ || at <= now_) act(SetTimer{1, next_tick_ = std::max(at, now_ + 1)});
  }

  const Settings s_;
  std::mt19937_64 random_;
  const std::shared_ptr<QuotaState> books_;
  const std::vector<PlanSettings>& plans_ = books_->plans;
  std::uint32_t& life_ = books_->generation;
  std::map<std::uint32_t, Account>& accounts_ = books_->accounts;
  ledger::DueQueue& agenda_ = books_->due_queue;
  Nanos& started_at_ = books_->started_at;
  Nanos now_ = 0;
  std::vector<Action>* actions_ = nullptr;
  bool started_ = false;
  bool idle_ = false;
  bool ends_ = false;     // keeps nothing any more
  bool away_ = false;     // another process serves in its place
  bool pressed_ = false;  // no server had room for a held request at the last look
  bool freed_ = false;    // credits have come since the last look at held requests
  Nanos next_guard_ = 0, next_split_ = 0, next_tick_ = 0, last_tick_ = 0, refilled_ = 0;
  pool::AnswerTimes times_{kFirstLatency};
  pool::Load load_;
  const pool::Windows windows_{s_.gateways};
  const pool::ColdStart cold_start_{s_.cold_from, s_.warm_up, s_.gateways};
  double served_recently_ = 0, hedge_tokens_ = 0;
  Server fresh_;
  std::vector<Server> servers_;
  std::map<std::string, pool::BudgetsSeen> budgets_;  // by class
  std::map<std::string, int> by_id_;
  std::map<std::string, Job> jobs_;
  std::vector<std::string> held_, finished_;
};

DecisionModule::DecisionModule(const Settings& settings) : impl_(std::make_unique<Impl>(settings)) {}
DecisionModule::DecisionModule(const Settings& settings, const DecisionModule& shares)
    : impl_(std::make_unique<Impl>(settings, shares.impl_->books())) {}
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
std::size_t DecisionModule::unavailable_servers(Nanos now) const { return impl_->unavailable_servers(now); }
std::string DecisionModule::guard_report(Nanos now) const { return impl_->guard_report(now); }
void DecisionModule::step(Nanos now, const std::vector<Event>& events, std::vector<Action>& actions) {
  impl_->step(now, events, actions);
}

}  // namespace cranemux
