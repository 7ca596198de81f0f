// One running gatekeeper: its pools, its listeners and its links, put together.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "config/config.h"
#include "console/console.h"
#include "front/graphql/graphql.h"
#include "front/platform/platform.h"
#include "front/routed.h"
#include "front/services_plan.h"
#include "handover/link.h"
#include "lifecycle/lifecycle.h"
#include "management/management.h"
#include "metrics/export.h"
#include "metrics/figures.h"
#include "peers/peers.h"
#include "pool/pool.h"

namespace cranemux {

// What an operator may switch on; all of it is off on the platform.
struct Options {
  std::optional<front::GraphqlSetup> graphql;  // served instead of the platform's protocol
  std::string console;                         // a Unix socket's path
  std::string graphite;                        // address:port
  std::string collectd;                        // a Unix socket's path
  std::chrono::milliseconds export_every{10'000};
};

class Gatekeeper : public management::Operations {
 public:
  // One pool, as the platform's configuration has it.
  Gatekeeper(net::asio::io_context& io, const config::Config& config, const Options& options,
             metrics::Logger& logger);
  // Several services, as a file of ours has them.
  Gatekeeper(net::asio::io_context& io, const front::ServicesPlan& plan, const Options& options,
             metrics::Logger& logger);
  ~Gatekeeper() override;

  void start();
  // As at SIGHUP. `read` brings the file checked, or throws; then all stays as it was.
  void reload(const std::function<config::Config()>& read);
  void reload_graphql(const std::function<front::GraphqlSetup()>& read);
  void reload_services(const std::function<front::ServicesPlan()>& read);
  std::string command(const std::string& line);  // of the console
  // Of the operators' calls.
  bool ready() const override { return lifecycle_.ready(); }
  std::string stage() const override { return std::string(lifecycle::name_of(lifecycle_.stage())); }
  std::string figures() const override { return metrics::lines(figure()); }
  void drain(bool on) override;
  void drain();                        // as at SIGTERM: answers what it has taken, then ends
  metrics::Counters counters() const;  // of the process and all its pools together
  metrics::Figures figure() const;     // the same as operators see it, with what stands now

 private:
  struct Listener {
    config::ListenerConfig config;
    std::unique_ptr<front::Front> front;
    front::RoutedFront* routed = nullptr;      // the same, where there are several pools
    front::PlatformFront* platform = nullptr;  // the same, where it is that alone
    front::GraphqlFront* graphql = nullptr;    // the same, where it is served alone
    std::unique_ptr<front::ChannelServer> channels;
  };
  struct Member {
    std::shared_ptr<pool::Pool> pool;
    std::shared_ptr<metrics::Counters> counters;  // its own, where there are several pools
  };
  using Members = std::map<std::string, Member>;
  using Routings = std::vector<std::shared_ptr<front::Routing>>;

  // Of the operators' calls.
  // Of a process that is replaced, and of the one that replaces it.
  void open_handover();
  void watch_loop();
  metrics::Counters counters_of(const Member& member) const;
  metrics::Counters summed_counters()
      const;  // of the process and its pools, without what is looked up elsewhere
  static void count_attempts(const core::Core& core, metrics::Counters& sum);
  void count_loop(metrics::Counters& sum) const;
  std::string handover_path() const;
  pool::Pool& the_pool() { return *pools_.begin()->second.pool; }
  front::PlatformFront& platform() { return *listeners_.front().platform; }
  void take_over();
  void take_up(const handover::State& state);
  handover::State hand_over();
  void take_back();
  void alone_again();  // the process before has ended: its room is free

  void open_management(const std::optional<config::Address>& at);
  void open_console(const Options& options);
  void open_exports(const Options& options);
  Member make_pool(const config::PoolConfig& config, const Members& others);
  Members make_pools(const config::Services& services);
  Routings make_routings(const front::ServicesPlan& plan, const Members& members);
  std::shared_ptr<front::PoolFront> make_pool_front(std::size_t listener, const Member& member,
                                                    const std::optional<front::GraphqlSetup>& graphql,
                                                    front::Routing& routing);
  void apply(const front::ServicesPlan& plan);
  void forget(const Member& member);
  bool reclaim(const pool::Pool& asker);
  std::size_t in_flight() const;
  std::size_t busy_channels() const;              // with a request that is taken and not yet ended
  bool idle() const;                              // no request, and no channel
  static bool referred_to(const Member& member);  // of those that are removed
  net::awaitable<void> reap();
  net::awaitable<void> wind_down();
  void give_up();         // answers all that is left
  void stop_accepting();  // what is under way goes on
  std::chrono::nanoseconds longest_drain() const;

  std::string drain_command(const std::string& pool, const std::string& node, bool drained);
  void print_pools(std::ostream& out) const;
  void print_routes(std::ostream& out) const;
  void print_nodes(std::ostream& out, const std::string& pool) const;
  void print_quotas(std::ostream& out, const std::string& pool) const;

  net::asio::io_context& io_;
  metrics::Logger& logger_;
  metrics::Counters counters_;  // of the process, and of the pool where there is one
  std::string name_;
  std::optional<config::Config> config_;      // with one pool
  std::optional<config::Services> services_;  // with several
  const bool own_servers_;                    // listed by the GraphQL file, not by discovery
  net::asio::steady_timer drain_timer_, reap_timer_;
  pool::Shared shared_;
  peers::PeerLink peers_;
  Members pools_;
  std::vector<Member> leaving_;  // removed; at work until what they have taken is answered
  lifecycle::Lifecycle lifecycle_;
  std::unique_ptr<handover::Giver> giver_;
  std::unique_ptr<handover::Heir> heir_;
  std::vector<Listener> listeners_;
  std::unique_ptr<console::Console> console_;
  std::unique_ptr<management::Management> management_;
  std::vector<std::unique_ptr<metrics::Exporter>> exporters_;
  bool reaping_ = false;
};

}  // namespace cranemux
