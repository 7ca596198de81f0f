// One running gatekeeper: the core, its fronts and its links, put together.
#pragma once

#include "attempt/attempts.h"
#include "config/config.h"
#include "core/core.h"
#include "front/graphql/graphql.h"
#include "front/platform/platform.h"
#include "peers/peers.h"
#include "resolver/resolver.h"

namespace cranemux {

class Gatekeeper : private core::Host {
 public:
  // With `graphql` that front is served instead of the platform's, from the servers that its file lists.
  Gatekeeper(net::asio::io_context& io, const config::Config& config,
             const std::optional<front::GraphqlConfig>& graphql, metrics::Logger& logger);
  void start();
  void drain();  // as at SIGTERM: answers what it has taken, then ends
  const metrics::Counters& counters() const { return counters_; }

 private:
  void turn_soon() override;
  void turn_at(net::Clock::time_point at) override;
  net::awaitable<void> wind_down();

  net::asio::io_context& io_;
  metrics::Logger& logger_;
  metrics::Counters counters_;
  const config::Config config_;
  const bool own_servers_;  // listed by the GraphQL file, not by discovery
  net::asio::steady_timer turn_timer_, drain_timer_;
  net::Clock::time_point turn_timer_at_ = net::Clock::time_point::max();
  core::Core core_;
  attempt::Attempts attempts_;
  peers::PeerLink peers_;
  std::unique_ptr<front::Front> front_;
  front::ChannelServer channels_;
  resolver::Resolver resolver_;
  bool draining_ = false;
};

}  // namespace cranemux
