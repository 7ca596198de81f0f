#include "handover/module_state.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cranemux::handover {
namespace {

// Could a module with these settings have written it? Figures that no module writes would spread.
bool sane(const ModuleState& s, const Settings& settings, Nanos now) {
  const auto fits = [](double figure) { return std::isfinite(figure) && std::abs(figure) < 1e12; };
  bool good = s.suspected_until.size() == static_cast<std::size_t>(settings.gateways) && s.started <= now &&
              fits(s.served_recently) && fits(s.hedge_tokens) && s.life <= 0xffff &&
              s.plans.size() == s.accounts.size();
  for (const auto& [hash, a] : s.accounts) {
    good = good && s.plans.contains(hash) && fits(a.tokens) && fits(a.confirmed_tokens) &&
           fits(a.borrowable) && fits(a.reported_allowance) && fits(a.ceiling_tokens) &&
           a.refilled_at <= now && a.hash == hash && a.spread >= 1 && a.spread <= settings.gateways &&
           a.first >= 0 && a.first < settings.gateways && a.shards >= 1 && a.shard >= 0 &&
           a.shard < a.shards && a.shards <= a.spread && a.leader < settings.gateways;
  }
  for (const auto& [hash, plan] : s.plans) {
    good = good && plan >= 0 && plan < static_cast<std::int64_t>(s.terms.size());
  }
  for (const auto& [hash, l] : s.ledgers) {
    good = good && l.customer == hash && l.plan < s.terms.size() && fits(l.tokens) && l.shards >= 1 &&
           l.refilled_at.count() <= now;
    for (const auto& [gateway, claim] : l.claims) {
      good = good && gateway >= 0 && gateway < settings.gateways && fits(claim.weight) && fits(claim.wanted);
    }
  }
  for (const auto& server : s.servers) {
    good = good && fits(server.excess) && fits(server.window) && server.window > 0 &&
           fits(server.cold_tokens) && server.entry.state <= ServerState::removed;
  }
  return good;
}

// Numbers of plans become those of these settings; what has no plan there any more goes.
void go_by(ModuleState& s, const Settings& settings) {
  std::vector<std::int64_t> now;  // by number in the terms; -1: none
  for (const auto& old : s.terms) {
    const auto at = std::find(settings.plans.begin(), settings.plans.end(), old);
    now.push_back(at == settings.plans.end() ? -1 : at - settings.plans.begin());
  }
  for (auto& [hash, plan] : s.plans) plan = now[static_cast<std::size_t>(plan)];
  std::erase_if(s.accounts, [&](const auto& item) { return s.plans.at(item.first) < 0; });
  std::erase_if(s.ledgers, [&](const auto& item) { return now[item.second.plan] < 0; });
  for (auto& [hash, ledger] : s.ledgers) ledger.plan = static_cast<std::uint32_t>(now[ledger.plan]);
  std::erase_if(s.budgets, [&](const auto& item) {
    const auto named = [&](const auto& c) { return c.name == item.first; };
    const auto was = std::find_if(s.classes.begin(), s.classes.end(), named);
    const auto is = std::find_if(settings.classes.begin(), settings.classes.end(), named);
    return was == s.classes.end() || is == settings.classes.end() || !(*was == *is);
  });
}

}  // namespace

std::string save(const Memory& memory) {
  ModuleState state;
  const auto& books = memory.books;
  state.life = books.generation;
  state.started = books.started_at;
  state.suspected_until = books.leader_selection->suspicion().until();
  state.served_recently = memory.served_recently;
  state.hedge_tokens = memory.hedge_tokens;
  state.budgets = memory.budgets;
  for (const auto& [hash, a] : books.accounts) {
    if (!a.plan) continue;
    state.accounts[hash] = a;
    state.plans[hash] = a.plan - books.plans.data();
  }
  state.terms = books.plans;
  state.classes = memory.classes;
  state.ledgers = books.ledgers->all();
  state.servers = memory.servers;
  Writer out;
  out(state);
  return out.take();
}

std::optional<ModuleState> read(const std::string& bytes, const Settings& settings, Nanos now) {
  ModuleState state;
  Reader in(bytes);
  in(state);
  if (!in.whole() || !sane(state, settings, now)) return std::nullopt;
  go_by(state, settings);
  return state;
}

void take_up(ModuleState&& state, const Memory& memory) {
  auto& books = memory.books;
  books.started_at = state.started;
  books.leader_selection->suspicion().restore(std::move(state.suspected_until));
  memory.served_recently = state.served_recently;
  memory.hedge_tokens = state.hedge_tokens;
  memory.budgets = std::move(state.budgets);
  books.accounts = std::move(state.accounts);
  for (auto& [hash, a] : books.accounts) {
    a.plan = &books.plans[static_cast<std::size_t>(state.plans.at(hash))];
    books.erased_epoch = std::max(books.erased_epoch, a.leader_epoch);
    if (a.requested_at > a.answered_at || a.changed) books.due_queue.schedule(hash, ledger::Time(0));
  }
  for (auto& [hash, ledger] : state.ledgers) {
    for (const auto& [gateway, claim] : ledger.claims) ledger.update_shortfall(gateway);
  }
  books.ledgers->all() = std::move(state.ledgers);
  memory.servers = std::move(state.servers);
  for (std::size_t i = 0; i < memory.servers.size(); ++i) {
    memory.by_id[memory.servers[i].entry.id] = static_cast<int>(i);
  }
}

}  // namespace cranemux::handover
