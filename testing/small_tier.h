// A small tier of decision modules in virtual time: some gatekeepers, of which the last ones may be set aside
// to keep ledgers, and the messages between them, 5 ms on the way. Attempts succeed with the next step.
// Header only.
#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "cranemux/decision_module.h"
#include "ledger/replica_placement.h"
#include "ledger/wire_encoding.h"

namespace cranemux::testing {

class SmallTier {
 public:
  explicit SmallTier(int gatekeepers, int aside = 0,
                     std::vector<PlanSettings> plans = {{"rate", 10, 40, 0, 0, 0, 0, 1, 0, 1}},
                     bool guarded = false)
      : aside_(aside), plans_(std::move(plans)), guarded_(guarded) {
    for (int i = 0; i < gatekeepers + aside; ++i) start(i, gatekeepers + aside);
  }
  int members() const { return static_cast<int>(modules_.size()); }
  int keeper(const std::string& customer) const {
    return ledger::leader_at(ledger::hash_of(customer), 0, 0, 0, members() - aside_, members(), aside_);
  }
  void start(int i, int members) {
    Settings s;
    s.seed = 7 + static_cast<std::uint64_t>(i) + 100 * ++lives_;
    s.gateways = members;
    s.dedicated_leaders = aside_;
    s.guarded = guarded_;
    s.index = i;
    s.zone = "here";
    s.classes = {{"look", 1500 * kMs, 5000 * kMs, 0, 1, Repeat::safe, RepeatScope::all, 0, false}};
    s.plans = plans_;
    s.peers = true;
    s.peer_messages_per_s = guarded_ ? 200 : 60;
    s.max_attempts = 1;
    const auto at = static_cast<std::size_t>(i);
    at < modules_.size() ? void(modules_[at] = DecisionModule(s)) : void(modules_.emplace_back(s));
    feed(i, {servers(ServerState::running)});
  }
  // All nodes serve, or none takes anything; as one member sees it.
  void set_servers(bool serve, int member) {
    feed(member, {servers(serve ? ServerState::running : ServerState::draining)});
  }
  void set_servers(bool serve) {
    for (int i = 0; i < members(); ++i) set_servers(serve, i);
  }
  void restart(int i) { start(i, members()); }

  enum class Fate { sent, refused, waits };
  // `plan`: its name; the first one unless said.
  Fate ask(int at, const std::string& customer = "someone", const std::string& plan = {}) {
    Request r;
    r.id = std::to_string(++ids_);
    r.klass = "look";
    r.plan = plan.empty() ? plans_.front().name : plan;
    r.customer = customer;
    r.budget = 5000 * kMs;
    r.spread = members() - aside_;
    customers_[r.id] = customer;
    const auto sent_before = sent[at], refused_before = refused[at];
    feed(at, {r});
    return sent[at] > sent_before ? Fate::sent : refused[at] > refused_before ? Fate::refused : Fate::waits;
  }
  void play(Nanos time) {
    for (const auto end = now + time; now < end; now += 5 * kMs) {
      wake_continued();
      for (auto mails = std::exchange(mail_, {}); auto& m : mails) {
        if (alter) alter(m.bytes);
        if (stopped.contains(m.to)) {
          mail_.push_back(m);
        } else if (!lose || !lose(m.from, m.to, m.bytes)) {
          feed(m.to, {PeerMessage{m.from, m.bytes}});
        }
      }
      for (auto all = std::exchange(answers_, {}); const auto& [at, o] : all) feed(at, {o});
      for (int i = 0; i < members(); ++i) {
        if (timers_[i] <= now && !stopped.contains(i)) feed(i, {Timer{1}});
      }
    }
  }
  // So many requests a second, spread over gatekeepers [from, to).
  void press(double per_s, Nanos time, int from, int to, const std::string& customer = "someone",
             const std::string& plan = {}) {
    for (const auto end = now + time; now < end;) {
      for (due_ += per_s * 0.02; due_ >= 1; due_ -= 1) {
        const int at = from + ids_ % (to - from);
        stopped.contains(at) ? void(++ids_) : void(ask(at, customer, plan));
      }
      play(20 * kMs);
    }
  }
  void feed(int at, const std::vector<Event>& events) {
    std::vector<Action> actions;
    modules_[static_cast<std::size_t>(at)].step(now, events, actions);
    for (const auto& action : actions) {
      if (const auto* timer = std::get_if<SetTimer>(&action)) timers_[at] = timer->at;
      if (const auto* tell = std::get_if<SendToPeer>(&action)) {
        ++told[at];
        mail_.push_back({at, tell->to, tell->bytes});
      }
      refused[at] += std::holds_alternative<Refuse>(action);
      if (const auto* send = std::get_if<Send>(&action)) {
        ++sent[at];
        ++sent_of[customers_[send->request]];
        Outcome o;
        o.request = send->request;
        o.finished = true;
        answers_.push_back({at, o});
      }
    }
  }
  // Whether the member keeps an account of the customer.
  bool knows(int member, const std::string& customer) const {
    return modules_[static_cast<std::size_t>(member)].allowance(now, customer).has_value();
  }
  int all_sent() const {
    int out = 0;
    for (const auto& [at, count] : sent) out += count;
    return out;
  }

  Nanos now = 100'000 * kMs;
  std::function<bool(int from, int to, const std::string& bytes)> lose;
  std::function<void(std::string& bytes)> alter;  // each message on its way
  std::set<int> stopped;  // neither step nor are asked; what is sent to them waits, as under SIGSTOP
  std::map<int, int> sent, refused, told;  // by member
  std::map<std::string, int> sent_of;      // by customer

 private:
  // Whoever goes on after a stop may look at its clock before it reads what has come meanwhile.
  void wake_continued() {
    for (const int member : std::exchange(were_stopped_, stopped)) {
      if (!stopped.contains(member)) feed(member, {Timer{1}});
    }
  }
  static ServerList servers(ServerState state) {
    ServerList list{ListScope::stored, {}};
    for (int w = 0; w < 60; ++w) list.servers.push_back({"w" + std::to_string(w), "here", 0, state, 1, 0});
    return list;
  }
  struct Message {
    int from, to;
    std::string bytes;
  };
  static constexpr Nanos kMs = 1'000'000;
  const int aside_;
  const std::vector<PlanSettings> plans_;
  const bool guarded_;
  std::vector<DecisionModule> modules_;
  std::uint64_t lives_ = 0;
  int ids_ = 0;
  double due_ = 0;
  std::map<std::string, std::string> customers_;  // of each request
  std::map<int, Nanos> timers_;
  std::deque<Message> mail_;
  std::set<int> were_stopped_;
  std::deque<std::pair<int, Outcome>> answers_;
};

}  // namespace cranemux::testing
