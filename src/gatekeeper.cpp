#include "gatekeeper.h"

#include <algorithm>
#include <sstream>

namespace cranemux {
namespace {

// New connections come for 0.4 s after SIGTERM; SIGKILL comes 2.7 s after it at the earliest.
constexpr std::chrono::milliseconds kStillOpen{450}, kLook{10}, kLongestDrain{2600};

attempt::Limits limits_of(const config::Config& config) {
  return {config.connect_timeout, config.connection_idle,
          std::chrono::nanoseconds(config.settings.drain_grace), config.sockets * 3 / 10};
}

// A quarter of the memory for what channels hold; calls to workers may hold as much.
front::ChannelLimits channel_limits_of(const config::Config& config) {
  return {config.sockets, config.sockets * 6 / 10, config.memory_mb * 1024 * 1024 / 4};
}

config::Config with_graphql(config::Config config, const std::optional<front::GraphqlConfig>& graphql) {
  if (!graphql) return config;
  config.listen = graphql->listen;
  config.known = {0, true, graphql->servers};
  for (auto& server : config.known.entries) server.zone = config.settings.zone;
  config.settings.settles = true;  // servers may tell what an operation truly cost
  return config;
}

std::unique_ptr<front::Front> make_front(core::Core& core, const config::Config& config,
                                         const std::optional<front::GraphqlConfig>& graphql,
                                         metrics::Counters& counters) {
  if (graphql) return std::make_unique<front::GraphqlFront>(core, *graphql, counters);
  return std::make_unique<front::PlatformFront>(core, config.load_fields);
}

}  // namespace

Gatekeeper::Gatekeeper(net::asio::io_context& io, const config::Config& config, const Options& options,
                       metrics::Logger& logger)
    : io_(io),
      logger_(logger),
      config_(with_graphql(config, options.graphql)),
      own_servers_(options.graphql.has_value()),
      turn_timer_(io),
      drain_timer_(io),
      core_(config_.settings, logger, counters_),
      attempts_(io, core_, limits_of(config_), logger, counters_),
      peers_(io, core_, config_, logger, counters_),
      front_(make_front(core_, config_, options.graphql, counters_)),
      channels_(io, config_.listen, channel_limits_of(config_), *front_, core_, logger, counters_),
      resolver_(
          io, core_, config.discovery,
          [this](const config::ResolverResult& result, bool whole) { attempts_.resolved(result, whole); },
          logger, counters_) {
  core_.connect(attempts_, peers_, *this);
  if (!options.console.empty()) {
    console_ = std::make_unique<console::Console>(
        io, options.console, [this](const std::string& line) { return command(line); }, logger);
  }
  const auto interval =
      std::max(std::chrono::seconds(1), std::chrono::ceil<std::chrono::seconds>(options.export_every));
  if (!options.graphite.empty()) {
    const auto to = net::endpoint<net::tcp>(config::parse_address(options.graphite, "--graphite"));
    exporters_.push_back(std::make_unique<metrics::Exporter>(
        io, to, options.export_every, false,
        [this] {
          const auto now = std::chrono::system_clock::now().time_since_epoch();
          return metrics::graphite_lines(counters_, config_.name,
                                         std::chrono::floor<std::chrono::seconds>(now));
        },
        logger, counters_));
  }
  if (!options.collectd.empty()) {
    exporters_.push_back(std::make_unique<metrics::Exporter>(
        io, net::asio::local::stream_protocol::endpoint(options.collectd), options.export_every, true,
        [this, interval] { return metrics::collectd_lines(counters_, config_.name, interval); }, logger,
        counters_));
  }
}

void Gatekeeper::start() {
  resolver_.start(config_.known, !own_servers_);
  core_.turn();
  channels_.start();
  if (console_) console_->start();
  for (auto& exporter : exporters_) exporter->start();
  logger_.log(metrics::Level::info, config_.name, " listens on ", config_.listen.host, ":",
              config_.listen.port);
}

// Quotas, RPCs and channels stay; the watch moves to the file's `discovery`.
void Gatekeeper::reload(const std::function<config::Config()>& read) {
  try {
    const auto file = read();
    ++counters_.reloads;
    if (own_servers_) {
      logger_.log(metrics::Level::info, "reload: nothing to change, the GraphQL file lists the servers");
      return;
    }
    for (const auto& key : config::fixed_until_restart(config_, file)) {
      logger_.log(metrics::Level::warning, "reload: ", key, " differs, which needs a restart");
    }
    if (file.discovery == config_.discovery) return;
    config_.discovery = file.discovery;
    logger_.log(metrics::Level::info, "reload: discovery is at ", file.discovery.host, ":",
                file.discovery.port);
    resolver_.move(file.discovery);
  } catch (const std::exception& error) {
    ++counters_.reloads_rejected;
    logger_.log(metrics::Level::error, "reload: the configuration stays as it was: ", error.what());
  }
}

void Gatekeeper::turn_soon() {
  net::asio::post(io_, [this] { core_.turn(); });
}

void Gatekeeper::turn_at(net::Clock::time_point at) {
  if (at == turn_timer_at_) return;
  turn_timer_at_ = at;
  if (at == net::Clock::time_point::max()) {
    turn_timer_.cancel();
    return;
  }
  turn_timer_.expires_at(at);
  turn_timer_.async_wait([this](const boost::system::error_code& error) {
    if (error || turn_timer_.expiry() > net::Clock::now()) return;
    turn_timer_at_ = net::Clock::time_point::max();
    core_.turn();
  });
}

std::string Gatekeeper::command(const std::string& line) {
  std::istringstream words(line);
  std::string name, argument;
  words >> name >> argument;
  std::ostringstream out;
  if (name == "counters") {
    out << counters_;
  } else if (name == "nodes") {
    for (const auto& [node, n] : attempts_.nodes()) {
      out << node << ' ' << n.state << " busy " << n.busy << " idle " << n.idle << " sent " << n.sent << '\n';
    }
  } else if (name == "quotas") {
    for (const auto& [customer, use] : core_.use()) {
      const auto* plan = core_.plan(use.plan);
      out << customer << ' ' << use.plan << " units " << use.units << " rpcs " << use.rpcs << " unavailable "
          << use.unavailable << " rate " << (plan ? plan->rate : 0) << " burst " << (plan ? plan->burst : 0)
          << '\n';
    }
  } else if (name == "log") {
    const auto level = metrics::level_named(argument);
    if (level) logger_.set_level(*level);
    if (!level && !argument.empty()) return "unknown level " + argument + '\n';
    out << "log level " << metrics::kLevelNames[static_cast<std::size_t>(logger_.level())] << '\n';
  } else if (name == "drain") {
    drain();
    out << "draining: answers what it has taken, then ends\n";
  } else if (name == "help") {
    out << "counters | nodes | quotas | log [debug|info|warning|error] | drain | help | quit\n";
  } else {
    return "unknown command " + name + ": try help\n";
  }
  return out.str();
}

void Gatekeeper::drain() {
  if (std::exchange(draining_, true)) return;
  net::spawn(io_, logger_, "drain", wind_down());
}

net::awaitable<void> Gatekeeper::wind_down() {
  const auto start = net::Clock::now();
  drain_timer_.expires_at(start + kStillOpen);
  co_await drain_timer_.async_wait(net::kResult);
  while (net::Clock::now() < start + kLongestDrain && !(channels_.idle() && core_.in_flight() == 0)) {
    channels_.drain();
    drain_timer_.expires_after(kLook);
    co_await drain_timer_.async_wait(net::kResult);
  }
  channels_.stop();
  io_.stop();
}

}  // namespace cranemux
