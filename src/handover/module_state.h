// What one life of the decision module tells the next on the same machine: times are of the one steady clock.
// What belongs to requests under way stays with the life that has them.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "handover/archive.h"
#include "ledger/quota_state.h"
#include "pool/server.h"

namespace cranemux::handover {

struct ModuleState {
  std::uint32_t life = 0;  // peers go on with the totals of this life
  Nanos started = 0;
  std::vector<ledger::Time> suspected_until;  // by gatekeeper
  double served_recently = 0, hedge_tokens = 0;
  std::map<std::string, std::map<Nanos, int>> budgets;
  std::map<std::uint32_t, ledger::Account> accounts;
  std::map<std::uint32_t, std::int64_t> plans;  // of the accounts, by number in `terms`
  std::vector<PlanSettings> terms;              // the plans that this life goes by ...
  std::vector<ClassSettings> classes;           // ... and the classes
  std::map<std::uint32_t, ledger::Ledger> ledgers;
  std::vector<pool::Server> servers;
};

}  // namespace cranemux::handover

namespace cranemux::ledger {

template <typename Io>
void fields(Io& io, Account& a) {
  io(a.hash, a.first, a.spread, a.shards, a.shard, a.leader, a.leader_epoch, a.tokens, a.confirmed_tokens,
     a.borrowable, a.reported_allowance, a.ceiling_tokens, a.refilled_at, a.used_units, a.limit,
     a.requested_at, a.answered_at, a.unanswered_requests, a.changed);
}
template <typename Io>
void fields(Io& io, Claim& c) {
  io(c.generation, c.number, c.leader_epoch, c.limit, c.used, c.weight, c.wanted, c.updated_at, c.held_until);
}
template <typename Io>
void fields(Io& io, Ledger& l) {
  io(l.customer, l.plan, l.rate, l.burst, l.debt, l.tokens, l.shards, l.refilled_at, l.opened_at,
     l.requested_at, l.claims);
}

}  // namespace cranemux::ledger

namespace cranemux {

template <typename Io>
void fields(Io& io, PlanSettings& p) {
  io(p.name, p.rate, p.burst, p.open_limit, p.ceiling_rate, p.ceiling_burst, p.ceiling_slack, p.price,
     p.over_worth, p.over_cost);
}
template <typename Io>
void fields(Io& io, ClassSettings& c) {
  io(c.name, c.aim, c.give_up, c.late_share, c.worth, c.repeat, c.scope, c.window, c.stream);
}
template <typename Io>
void fields(Io& io, ServerEntry& e) {
  io(e.id, e.zone, e.cell, e.state, e.weight, e.started);
}

}  // namespace cranemux

namespace cranemux::pool {

template <typename Io>
void fields(Io& io, Server& s) {
  io(s.entry, s.excess, s.window, s.last_ok_sent, s.cut_at, s.ejected_until, s.ejected_for, s.listed,
     s.strikes, s.cold_tokens);
}

}  // namespace cranemux::pool

namespace cranemux::handover {

template <typename Io>
void fields(Io& io, ModuleState& s) {
  io(s.life, s.started, s.suspected_until, s.served_recently, s.hedge_tokens, s.budgets, s.accounts, s.plans,
     s.terms, s.classes, s.ledgers, s.servers);
}

// The module's memory, wherever it stands.
struct Memory {
  ledger::QuotaState& books;
  double &served_recently, &hedge_tokens;
  std::map<std::string, std::map<Nanos, int>>& budgets;
  std::vector<pool::Server>& servers;
  std::map<std::string, int>& by_id;  // their places
  const std::vector<ClassSettings>& classes;
};

std::string save(const Memory& memory);
// None: it is torn, or no module could have written it. What went by terms that the settings do not have any
// more starts anew: a customer's plan is the one of that name and those figures, wherever it stands in the
// list.
std::optional<ModuleState> read(const std::string& bytes, const Settings& settings, Nanos now);
void take_up(ModuleState&& state, const Memory& memory);

}  // namespace cranemux::handover
