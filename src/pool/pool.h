// One pool: a module of its own, its nodes and connections, its budgets and its drains. Nothing here is
// shared with another pool but what the budgets lend, and the quotas of a group.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "attempt/attempts.h"
#include "config/services.h"
#include "core/core.h"
#include "net/loop_delay.h"
#include "net/net.h"
#include "net/turn_scheduler.h"
#include "peers/peers.h"
#include "pool/admission.h"
#include "pool/node_list.h"
#include "resolver/resolver.h"

namespace cranemux::pool {

// What the process shares out among its pools.
struct Shared {
  Admission::Budgets admission;
  std::shared_ptr<SharedBudget> connections;
};
Shared shared_of(const config::Totals& totals);

class Pool : private core::Host {
 public:
  // `group`: a pool whose quotas this one shares, or none. `reclaim` closes an idle connection of another
  // pool.
  Pool(net::asio::io_context& io, const config::PoolConfig& config, const Shared& shared,
       peers::PeerLink& peers, Pool* group, std::function<bool()> reclaim, metrics::Logger& logger,
       metrics::Counters& counters);
  ~Pool() override;

  void start(bool watches);
  const std::string& name() const { return config_.name; }
  const config::PoolConfig& config() const { return config_; }
  core::Core& core() { return core_; }
  const core::Core& core() const { return core_; }
  attempt::Attempts& attempts() { return attempts_; }
  Admission& admission() { return admission_; }
  const Purse& connections() const { return connections_; }
  const NodeList& nodes() const { return nodes_; }

  // An operator's drain: nothing new is taken, and nothing new goes to a node past the grace (1 s).
  bool drain(bool drained);                                // false: it is so already
  bool drain_node(const std::string& node, bool drained);  // false: not known here, or so already
  bool drained() const { return nodes_.drained(); }
  bool usable() const { return nodes_.usable() > 0; }

  void alter(const config::PoolConfig& config);  // nodes, discovery's address and budgets, in place
  void move_discovery(const config::Address& to);
  // A list that is newer than the configuration's; before the start.
  void inherit(const config::ResolverResult& list) { config_.nodes = list; }
  config::ResolverResult list() const { return nodes_.list(); }
  void lend_connections(std::size_t count);  // to another process of this gatekeeper, for now
  void leave();                              // removed: finishes what it has taken. No other is taken.
  bool over();                               // has left, and nothing of it is at work any more

 private:
  void turn_soon() override;
  void turn_at(net::Clock::time_point at) override;
  void list_changed(const config::ResolverResult& result, cranemux::ListScope scope);
  void turn();
  void hold_new_work(bool hold);

  net::asio::io_context& io_;
  config::PoolConfig config_;
  metrics::Logger& logger_;
  Admission admission_;
  Purse connections_;
  NodeList nodes_;
  core::Core core_;
  attempt::Attempts attempts_;
  std::unique_ptr<peers::LedgerEndpoint> line_;
  resolver::Resolver resolver_;
  net::asio::steady_timer turn_timer_;
  net::Clock::time_point turn_timer_at_ = net::Clock::time_point::max();
  net::DelayProbe delay_;
  std::shared_ptr<char> alive_ = std::make_shared<char>();  // for handlers that may come after the pool
  bool watches_ = false, leaving_ = false, stopped_ = false;
  bool holds_ = false;  // new work, until the module has taken up what has come
};

}  // namespace cranemux::pool
