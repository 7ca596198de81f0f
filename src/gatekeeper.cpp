#include "gatekeeper.h"

namespace cranemux {
namespace {

// New connections come for 0.4 s after SIGTERM; SIGKILL comes 2.7 s after it at the earliest.
constexpr std::chrono::milliseconds kStillOpen{450}, kLook{10}, kLongestDrain{2600};

attempt::Limits limits_of(const config::Config& config) {
  return {config.connect_timeout, config.connection_idle,
          std::chrono::nanoseconds(config.settings.drain_grace), config.sockets * 3 / 10};
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

Gatekeeper::Gatekeeper(net::asio::io_context& io, const config::Config& config,
                       const std::optional<front::GraphqlConfig>& graphql, metrics::Logger& logger)
    : io_(io),
      logger_(logger),
      config_(with_graphql(config, graphql)),
      own_servers_(graphql.has_value()),
      turn_timer_(io),
      drain_timer_(io),
      core_(config_.settings, logger, counters_),
      attempts_(io, core_, limits_of(config_), logger, counters_),
      peers_(io, core_, config_, logger, counters_),
      front_(make_front(core_, config_, graphql, counters_)),
      channels_(io, config_.listen, config_.sockets * 6 / 10, *front_, core_, logger, counters_),
      resolver_(
          io, core_, config.discovery,
          [this](const config::ResolverResult& result, bool whole) { attempts_.resolved(result, whole); },
          logger, counters_) {
  core_.connect(attempts_, peers_, *this);
}

void Gatekeeper::start() {
  resolver_.start(config_.known, !own_servers_);
  core_.turn();
  channels_.start();
  logger_.log(metrics::Level::info, config_.name, " listens on ", config_.listen.host, ":",
              config_.listen.port);
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
