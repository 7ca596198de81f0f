// One running gatekeeper: the core, its fronts and its links, put together.
#pragma once

#include "attempt/attempts.h"
#include "config/config.h"
#include "console/console.h"
#include "core/core.h"
#include "front/graphql/graphql.h"
#include "front/platform/platform.h"
#include "metrics/export.h"
#include "peers/peers.h"
#include "resolver/resolver.h"

namespace cranemux {

// What an operator may switch on; all of it is off on the platform.
struct Options {
  std::optional<front::GraphqlConfig> graphql;  // served instead of the platform's protocol
  std::string console;                          // a Unix socket's path
  std::string graphite;                         // address:port
  std::string collectd;                         // a Unix socket's path
  std::chrono::milliseconds export_every{10'000};
};

class Gatekeeper : private core::Host {
 public:
  Gatekeeper(net::asio::io_context& io, const config::Config& config, const Options& options,
             metrics::Logger& logger);
  void start();
  // As at SIGHUP. `read` brings the file checked, or throws; then all stays as it was.
  void reload(const std::function<config::Config()>& read);
  std::string command(const std::string& line);  // of the console
  void drain();                                  // as at SIGTERM: answers what it has taken, then ends
  const metrics::Counters& counters() const { return counters_; }

 private:
  void turn_soon() override;
  void turn_at(net::Clock::time_point at) override;
  net::awaitable<void> wind_down();

  net::asio::io_context& io_;
  metrics::Logger& logger_;
  metrics::Counters counters_;
  config::Config config_;
  const bool own_servers_;  // listed by the GraphQL file, not by discovery
  net::asio::steady_timer turn_timer_, drain_timer_;
  net::Clock::time_point turn_timer_at_ = net::Clock::time_point::max();
  core::Core core_;
  attempt::Attempts attempts_;
  peers::PeerLink peers_;
  std::unique_ptr<front::Front> front_;
  front::ChannelServer channels_;
  resolver::Resolver resolver_;
  std::unique_ptr<console::Console> console_;
  std::vector<std::unique_ptr<metrics::Exporter>> exporters_;
  bool draining_ = false;
};

}  // namespace cranemux
