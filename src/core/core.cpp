#include "core/core.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>
#include <utility>

#include "pool/repeats.h"

namespace cranemux::core {
namespace {

constexpr std::chrono::milliseconds kGuard{4};       // before the deadline, when the module has not answered
constexpr std::chrono::hours kUploading{1};          // its channel ends one that does not come on
constexpr std::size_t kMostCustomers = 1024;         // that the console's table keeps
constexpr std::size_t kMostEvents = 64;              // taken up in one step
constexpr std::chrono::microseconds kMostTurn{500};  // from here on a turn begins no further step

template <class... Ts>
struct Overloaded : Ts... {
  using Ts::operator()...;
};
template <class... Ts>
Overloaded(Ts...) -> Overloaded<Ts...>;

}  // namespace

Core::Core(const cranemux::Settings& settings, metrics::Logger& logger, metrics::Counters& counters,
           Core* shares)
    : settings_(settings),
      logger_(logger),
      counters_(counters),
      module_(shares ? cranemux::DecisionModule(settings, shares->module_)
                     : cranemux::DecisionModule(settings)) {
  for (const auto& c : settings_.classes) counters_.lanes[c.name];  // each is told of from the first, at 0
}

void Core::connect(CallAttempts& attempts, Peers& peers, Host& host) {
  attempts_ = &attempts;
  peers_ = &peers;
  host_ = &host;
}

const cranemux::ClassSettings* Core::class_of(const std::string& name) const {
  for (const auto& c : settings_.classes) {
    if (c.name == name) return &c;
  }
  return nullptr;
}

bool Core::knows_class(const std::string& name) const { return class_of(name) != nullptr; }

bool Core::is(const std::string& klass, cranemux::Repeat repeat) const {
  const auto* known = class_of(klass);
  return known && known->repeat == repeat;
}

nanoseconds Core::patience_of(const std::string& klass) const {
  const auto* known = class_of(klass);
  return nanoseconds(known ? known->give_up : 0);
}

nanoseconds Core::longest_patience() const {
  cranemux::Nanos longest = 0;
  for (const auto& c : settings_.classes) longest = std::max(longest, c.give_up);
  return nanoseconds(longest);
}

const cranemux::PlanSettings* Core::plan(const std::string& name) const {
  for (const auto& p : settings_.plans) {
    if (p.name == name) return &p;
  }
  return nullptr;
}

std::optional<cranemux::Allowance> Core::allowance(const std::string& customer) const {
  const auto now = std::chrono::duration_cast<nanoseconds>(Clock::now().time_since_epoch());
  return module_.allowance(now.count(), customer);
}

std::string Core::guard_report() const {
  const auto now = std::chrono::duration_cast<nanoseconds>(Clock::now().time_since_epoch());
  return module_.guard_report(now.count());
}

RpcId Core::take(RpcTerms terms, std::shared_ptr<const Payload> payload, std::shared_ptr<Channel> channel) {
  const auto id = ++last_id_;
  ++counters_.rpcs_taken;
  ++unanswered_;
  Rpc rpc;
  rpc.klass = class_of(terms.klass);
  rpc.lane = &counters_.lanes[terms.klass];
  rpc.guard = Clock::now() + (terms.uploading ? nanoseconds(kUploading)
                                              : std::max<nanoseconds>(nanoseconds{0}, terms.budget - kGuard));
  rpc.payload = std::move(payload);
  rpc.channel = std::move(channel);
  guards_.emplace(rpc.guard, id);
  count_use(terms);
  push(cranemux::Request{std::to_string(id), terms.klass, terms.plan, terms.customer, terms.budget.count(),
                         terms.units, terms.first, terms.spread, terms.repeat, terms.uploading});
  rpc.terms = std::move(terms);
  rpcs_.emplace(id, std::move(rpc));
  return id;
}

// Where the table is full, who was here longest ago makes room.
void Core::count_use(const RpcTerms& terms) {
  if (use_.size() >= kMostCustomers && !use_.contains(terms.customer)) {
    use_.erase(std::min_element(use_.begin(), use_.end(),
                                [](const auto& a, const auto& b) { return a.second.last < b.second.last; }));
    ++counters_.customers_forgotten;
  }
  auto& use = use_[terms.customer];
  use.plan = terms.plan;
  use.last = last_id_;
  ++use.rpcs;
}

void Core::uploaded(RpcId id, nanoseconds waited) {
  const auto at = rpcs_.find(id);
  if (at == rpcs_.end() || !at->second.channel) return;
  auto& rpc = at->second;
  guards_.erase({rpc.guard, id});
  rpc.guard = Clock::now() + std::max<nanoseconds>(nanoseconds{0}, rpc.terms.budget - waited - kGuard);
  guards_.emplace(rpc.guard, id);
  if (rpc.out > 0) attempts_->limit_patience(id, rpc.guard);
  push(cranemux::Uploaded{std::to_string(id), waited.count()});
}

void Core::abandoned(RpcId id) {
  const auto at = rpcs_.find(id);
  if (at == rpcs_.end() || !at->second.channel) return;
  ++counters_.rpcs_abandoned;
  --unanswered_;
  at->second.channel.reset();
  guards_.erase({at->second.guard, id});
  if (at->second.out > 0) attempts_->withdraw(id);
  push(cranemux::ClientGone{std::to_string(id)});
  drop_if_over(id);
}

int Core::attempts_out() const {
  int out = 0;
  for (const auto& [id, rpc] : rpcs_) out += rpc.out;
  return out;
}

std::size_t Core::avoided() const {
  return module_.unavailable_servers(
      std::chrono::duration_cast<nanoseconds>(Clock::now().time_since_epoch()).count());
}

void Core::attempt_written(RpcId id) {
  if (const auto at = rpcs_.find(id); at != rpcs_.end()) ++at->second.lane->upstream;
}

void Core::attempt_ended(RpcId id, int attempt, AttemptResult&& result) {
  using cranemux::Result;
  count(result.result);
  const auto at = rpcs_.find(id);
  if (at == rpcs_.end()) return;
  auto& rpc = at->second;
  --rpc.out;
  const bool never_ran = result.result == Result::full || result.result == Result::connect_failed ||
                         result.result == Result::not_sent;
  rpc.may_have_run = rpc.may_have_run || !never_ran;
  if (result.result == Result::ok && rpc.channel) {
    finish(id, rpc,
           {.ending = Ending::served, .body = std::move(result.body), .stream = std::move(result.stream)});
  } else if (rpc.otherwise && rpc.out == 0 && rpc.channel) {
    finish(id, rpc, std::move(*rpc.otherwise));
  }
  cranemux::Outcome outcome;
  outcome.request = std::to_string(id);
  outcome.attempt = attempt;
  outcome.result = result.result;
  outcome.took = result.took.count();
  outcome.finished = !rpc.channel;
  outcome.settled_units = settings_.settles ? result.true_units : 0;
  outcome.load = result.load;
  push(std::move(outcome));
  drop_if_over(id);
}

void Core::resolved(cranemux::ServerList&& list) { push(std::move(list)); }

void Core::peer_said(int from, std::string bytes) { push(cranemux::PeerMessage{from, std::move(bytes)}); }

void Core::leaving() { push(cranemux::ShuttingDown{}); }

// What has happened so far is taken up first, so that the state holds it.
std::string Core::hand_over(std::function<void(const cranemux::SpentElsewhere&)> spent) {
  do {
    turn();
  } while (events_waiting() > 0);
  spent_ = std::move(spent);
  push(cranemux::HandedOver{true});
  return module_.save();
}

void Core::take_back() { push(cranemux::HandedOver{false}); }

bool Core::take_over(const std::string& state) {
  actions_.clear();
  const auto now = std::chrono::duration_cast<nanoseconds>(Clock::now().time_since_epoch());
  if (!module_.restore(now.count(), state, actions_)) return false;
  for (const auto& action : actions_) carry_out(action);
  return true;
}

void Core::spent_elsewhere(const cranemux::SpentElsewhere& spent) { push(cranemux::SpentElsewhere(spent)); }

void Core::give_up() {
  std::vector<RpcId> left;
  for (const auto& [id, rpc] : rpcs_) {
    if (rpc.channel) left.push_back(id);
  }
  for (const auto id : left) give_up(id);
}

// The answer that the core has to give itself, since the module has not.
void Core::give_up(RpcId id) {
  auto& rpc = rpcs_.at(id);
  end(id, rpc, {.ending = Ending::unavailable, .why = "out of time"});
  events_.emplace_back(cranemux::ClientGone{std::to_string(id)});
  drop_if_over(id);
}

void Core::turn() {
  const auto begin = Clock::now();
  turn_asked_ = true;  // what happens during the step is taken up after it
  guard_deadlines(begin);
  add_due_timers(begin);
  for (auto now = begin; now - begin < kMostTurn && next_events(); now = Clock::now()) {
    actions_.clear();
    module_.step(std::chrono::duration_cast<nanoseconds>(now.time_since_epoch()).count(), stepping_,
                 actions_);
    stepping_.clear();
    for (const auto& action : actions_) carry_out(action);
  }
  turn_asked_ = events_waiting() > 0;
  if (turn_asked_) host_->turn_soon();
  auto next = timers_.empty() ? Clock::time_point::max() : timers_.begin()->first;
  if (!guards_.empty()) next = std::min(next, guards_.begin()->first);
  host_->turn_at(next);
}

void Core::add_due_timers(Clock::time_point now) {
  while (!timers_.empty() && timers_.begin()->first <= now) {
    events_.emplace_back(cranemux::Timer{timers_.begin()->second});
    timers_.erase(timers_.begin());
  }
}

bool Core::next_events() {
  if (batch_taken_ == batch_.size()) {
    batch_.clear();
    batch_taken_ = 0;
    std::swap(batch_, events_);
  }
  const auto from = batch_.begin() + static_cast<std::ptrdiff_t>(batch_taken_);
  const auto count = std::min(kMostEvents, batch_.size() - batch_taken_);
  stepping_.assign(std::make_move_iterator(from),
                   std::make_move_iterator(from + static_cast<std::ptrdiff_t>(count)));
  batch_taken_ += count;
  return count > 0;
}

void Core::guard_deadlines(Clock::time_point now) {
  while (!guards_.empty() && guards_.begin()->first <= now) {
    const auto id = guards_.begin()->second;
    guards_.erase(guards_.begin());
    ++counters_.deadline_guards;
    give_up(id);
  }
}

// A final answer without a worker's. An answer that has begun is its client's, whatever would end the RPC
// now.
void Core::end(RpcId id, Rpc& rpc, FinalAnswer&& answer) {
  if (!passes_on(id, rpc)) return finish(id, rpc, std::move(answer));
  guards_.erase({rpc.guard, id});
  rpc.otherwise = std::move(answer);
}

bool Core::passes_on(RpcId id, const Rpc& rpc) {
  if (!rpc.channel || rpc.out == 0) return false;
  for (int attempt = 0; attempt < rpc.attempts; ++attempt) {
    if (attempts_->pass_on(id, attempt)) return true;
  }
  return false;
}

void Core::log_answer(RpcId id, const Rpc& rpc, const FinalAnswer& answer) {
  static constexpr std::array<std::string_view, 3> kNames{"served", "unavailable", "failed"};
  const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - rpc.taken);
  logger_.log(metrics::Level::debug, "answer rpc=", id, " id=", rpc.payload->id(), " class=", rpc.terms.klass,
              " ending=", kNames.at(static_cast<std::size_t>(answer.ending)), " why=\"", answer.why,
              "\" attempts=", rpc.attempts, " out=", rpc.out, " ms=", took.count());
}

void Core::finish(RpcId id, Rpc& rpc, FinalAnswer&& answer) {
  if (answer.ending == Ending::unavailable && !harmless(rpc)) answer.ending = Ending::failed;
  log_answer(id, rpc, answer);
  if (answer.ending == Ending::served) ++counters_.rpcs_served;
  if (answer.ending == Ending::served && !answer.stream) ++rpc.lane->completed;
  answer.lane = rpc.lane;
  if (answer.ending == Ending::unavailable) ++counters_.rpcs_unavailable, ++rpc.lane->rejected;
  if (answer.ending == Ending::failed) ++counters_.rpcs_failed, ++rpc.lane->failed;
  if (answer.ending == Ending::unavailable) {
    answer.out = rpc.out > 0;
    answer.left = rpc.guard - Clock::now();
    if (const auto use = use_.find(rpc.terms.customer); use != use_.end()) ++use->second.unavailable;
  }
  --unanswered_;
  guards_.erase({rpc.guard, id});
  const auto channel = std::exchange(rpc.channel, nullptr);
  channel->answer(id, std::move(answer));
}

void Core::drop_if_over(RpcId id) {
  const auto at = rpcs_.find(id);
  if (at == rpcs_.end() || at->second.channel || at->second.out > 0) return;
  const auto& rpc = at->second;
  if (rpc.may_have_run && rpc.klass && rpc.klass->repeat != cranemux::Repeat::safe) {
    rpc.payload->may_have_run(nanoseconds(rpc.klass->give_up));
  }
  rpcs_.erase(at);
}

Core::Rpc* Core::find(const std::string& text, RpcId& id) {
  std::from_chars(text.data(), text.data() + text.size(), id);
  const auto at = rpcs_.find(id);
  return at == rpcs_.end() ? nullptr : &at->second;
}

// What may have run, or may yet, is only called unavailable where a repeat does no harm.
bool Core::harmless(const Rpc& rpc) {
  return (!rpc.may_have_run && rpc.out == 0) || (rpc.klass && pool::harmless_once_run(*rpc.klass));
}

bool Core::may_send(const Rpc& rpc) const {
  if (!rpc.channel || (rpc.attempts > 0 && !rpc.payload->repeatable())) return false;
  if (rpc.out > 0 && !(settings_.second_copies && rpc.payload->shared())) return false;
  const bool once = !rpc.klass || rpc.klass->repeat == cranemux::Repeat::unsafe;
  return !once || (!rpc.may_have_run && rpc.out == 0);
}

void Core::send(const cranemux::Send& send) {
  RpcId id = 0;
  auto* rpc = find(send.request, id);
  if (rpc && rpc->channel && rpc->channel->left()) rpc = find(send.request, id);
  if (!rpc || !may_send(*rpc)) {
    // Over, or a second copy, or a second run of what must run once: never sent.
    if (rpc) rpc->attempts = send.attempt + 1;
    ++counters_.attempts_moot;
    logger_.log(metrics::Level::debug, "moot call attempt of rpc ", id);
    return push(cranemux::Outcome{
        send.request, send.attempt, cranemux::Result::not_sent, 0, !rpc || !rpc->channel, 0, {}});
  }
  if (rpc->attempts == 0) {
    if (const auto use = use_.find(rpc->terms.customer); use != use_.end())
      use->second.units += rpc->terms.units;
  }
  ++rpc->out;
  ++counters_.attempts_sent;
  AttemptLimits limits;
  limits.patience = nanoseconds(send.timeout);
  limits.told = rpc->terms.budget;
  if (rpc->terms.uploading) limits.told -= rpc->channel->waited();
  limits.deadline = rpc->guard;
  if (send.send_deadline > 0) limits.whole_by = Clock::time_point(nanoseconds(send.send_deadline));
  rpc->attempts = send.attempt + 1;
  attempts_->start(id, send.attempt, send.server, limits, rpc->payload);
}

void Core::carry_out(const cranemux::Action& action) {
  const auto end_rpc = [&](const std::string& request, FinalAnswer&& answer) {
    RpcId id = 0;
    auto* rpc = find(request, id);
    if (!rpc || !rpc->channel) return;
    end(id, *rpc, std::move(answer));
    drop_if_over(id);
  };
  std::visit(
      Overloaded{
          [&](const cranemux::Send& a) { send(a); },
          [&](const cranemux::Cancel& a) {
            RpcId id = 0;
            const auto* rpc = find(a.request, id);
            if (!rpc || rpc->out == 0) return;
            const bool awaited = rpc->channel != nullptr;
            if (!awaited || !attempts_->pass_on(id, a.attempt)) attempts_->cancel(id, a.attempt);
          },
          [&](const cranemux::Refuse& a) {
            end_rpc(
                a.request,
                {.ending = Ending::unavailable, .retry_after = nanoseconds(a.retry_after), .why = "refused"});
          },
          [&](const cranemux::Fail& a) { end_rpc(a.request, {.ending = Ending::failed, .why = "failed"}); },
          [&](const cranemux::SetTimer& a) {
            timers_.emplace(Clock::time_point(nanoseconds(a.at)), a.token);
          },
          [&](const cranemux::SendToPeer& a) { peers_->tell(a.to, a.bytes); },
          [&](const cranemux::SpentElsewhere& a) {
            if (spent_) spent_(a);
          },
          [&](const cranemux::Log& a) { logger_.log(metrics::Level::info, a.text); },
          [&](const cranemux::WatchServers&) {},  // the resolver always watches
          [&](const cranemux::Probe&) {},         // the module asks for none
      },
      action);
}

void Core::count(cranemux::Result result) {
  using cranemux::Result;
  switch (result) {
    case Result::ok:
      ++counters_.attempts_ok;
      break;
    case Result::error:
      ++counters_.attempts_error;
      break;
    case Result::full:
      ++counters_.attempts_full;
      break;
    case Result::timeout:
      ++counters_.attempts_timeout;
      break;
    case Result::connect_failed:
      ++counters_.attempts_connect_failed;
      break;
    case Result::reset:
      ++counters_.attempts_reset;
      break;
    case Result::cancelled:
      ++counters_.attempts_cancelled;
      break;
    case Result::not_sent:
      ++counters_.attempts_moot;
      break;
  }
}

}  // namespace cranemux::core
