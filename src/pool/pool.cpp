#include "pool/pool.h"

#include <algorithm>

namespace cranemux::pool {
namespace {

attempt::Limits limits_of(const config::PoolConfig& config) {
  return {config.connect_timeout, config.connection_idle,
          std::chrono::nanoseconds(config.settings.drain_grace)};
}

}  // namespace

Shared shared_of(const config::Totals& totals) {
  const auto of = [](std::size_t total) { return std::make_shared<SharedBudget>(total); };
  return {{of(totals.channels), of(totals.channels), of(totals.bytes)}, of(totals.connections)};
}

Pool::Pool(net::asio::io_context& io, const config::PoolConfig& config, const Shared& shared,
           peers::PeerLink& peers, Pool* group, std::function<bool()> reclaim, metrics::Logger& logger,
           metrics::Counters& counters)
    : io_(io),
      config_(config),
      logger_(logger),
      admission_(shared.admission, config.admission),
      connections_(shared.connections, config.connections),
      core_(config.settings, logger, counters, group ? &group->core_ : nullptr),
      attempts_(io, core_, limits_of(config), connections_, std::move(reclaim), logger, counters),
      line_(peers.join(config.quota_group, core_)),
      resolver_(
          io, config.discovery.value_or(config::Address{}),
          [this](const config::ResolverResult& result, cranemux::ListScope scope) {
            list_changed(nodes_.told(result, scope != cranemux::ListScope::changes), scope);
          },
          resolver::call_pacing_for(config.settings), logger, counters),
      turn_timer_(io),
      delay_(net::LoopDelay::of(io)) {
  core_.connect(attempts_, *line_, *this);
}

Pool::~Pool() { hold_new_work(false); }

void Pool::start(bool watches) {
  watches_ = watches;
  resolver_.start(config_.nodes, watches);
  core_.turn();
}

// Both hear it in one go: the attempts first, so that no first byte goes out past the grace.
void Pool::list_changed(const config::ResolverResult& result, cranemux::ListScope scope) {
  attempts_.resolved(result, scope != cranemux::ListScope::changes);
  core_.resolved(resolver_.server_list(result, scope));
}

bool Pool::drain(bool drained) {
  if (nodes_.drained() == drained) return false;
  list_changed(nodes_.drain_all(drained), cranemux::ListScope::changes);
  return true;
}

bool Pool::drain_node(const std::string& node, bool drained) {
  const auto changed = nodes_.drain(node, drained);
  if (changed) list_changed(*changed, cranemux::ListScope::changes);
  return changed.has_value();
}

void Pool::alter(const config::PoolConfig& config) {
  admission_.alter(config.admission);
  connections_.alter(config.connections);
  if (config.discovery && config.discovery != config_.discovery) move_discovery(*config.discovery);
  if (!config.discovery && config.nodes.entries != config_.nodes.entries) {
    list_changed(nodes_.told(config.nodes, true), cranemux::ListScope::full);
  }
  config_ = config;
}

void Pool::lend_connections(std::size_t count) {
  auto part = config_.connections;
  part.guaranteed -= std::min(count, part.guaranteed * 3 / 4);
  part.most -= std::min(count, part.most * 3 / 4);
  connections_.alter(part);
}

void Pool::move_discovery(const config::Address& to) {
  config_.discovery = to;
  resolver_.set_discovery(to);
}

void Pool::leave() { leaving_ = true; }

bool Pool::over() {
  if (!leaving_ || core_.known() > 0) return false;
  if (!std::exchange(stopped_, true)) {
    resolver_.stop();
    attempts_.stop();
    turn_timer_.cancel();
    delay_.expect(net::Clock::time_point::max());
  }
  return attempts_.idle() && resolver_.idle();
}

void Pool::turn_soon() {
  net::asio::post(io_, [this, alive = std::weak_ptr<char>(alive_)] {
    if (!alive.expired()) turn();
  });
}

void Pool::turn() {
  delay_.taken_up(net::Clock::now());
  core_.turn();
  hold_new_work(core_.events_waiting() > 0);
}

void Pool::hold_new_work(bool hold) {
  if (hold == std::exchange(holds_, hold)) return;
  auto& turns = net::TurnScheduler::of(io_);
  hold ? turns.hold() : turns.release();
}

void Pool::turn_at(net::Clock::time_point at) {
  if (at == turn_timer_at_) return;
  turn_timer_at_ = at;
  delay_.expect(at);
  if (at == net::Clock::time_point::max()) {
    turn_timer_.cancel();
    return;
  }
  turn_timer_.expires_at(at);
  turn_timer_.async_wait([this, alive = std::weak_ptr<char>(alive_)](const boost::system::error_code& error) {
    if (error || alive.expired() || turn_timer_.expiry() > net::Clock::now()) return;
    turn_timer_at_ = net::Clock::time_point::max();
    turn();
  });
}

}  // namespace cranemux::pool
