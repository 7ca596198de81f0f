#include "gatekeeper.h"

#include <algorithm>

#include "lifecycle/planned_end.h"
#include "net/loop_delay.h"
#include "net/turn_scheduler.h"

namespace cranemux {
namespace {

constexpr std::chrono::milliseconds kLook{10};
constexpr std::chrono::milliseconds kLongestCounted{3000};  // of a class's deadline, at a planned end
constexpr std::chrono::milliseconds kAfterDeadline{550};    // SIGKILL comes 0.7 s after it at the earliest
constexpr std::chrono::milliseconds kReap{50};
constexpr const char* kOnlyPool = "main";

// A quarter of the memory for what channels hold; calls to workers may hold as much. Listeners have even
// shares.
front::ChannelLimits channel_limits_of(std::size_t sockets, std::size_t memory_mb, std::size_t listeners) {
  const auto totals = config::totals_of(sockets, memory_mb);
  return {sockets / listeners, totals.channels / listeners, totals.bytes / listeners};
}

config::Config with_graphql(config::Config config, const std::optional<front::GraphqlSetup>& graphql) {
  if (!graphql) return config;
  config.listen = graphql->file.listen;
  config.known = {0, true, graphql->file.servers};
  for (auto& server : config.known.entries) server.zone = config.settings.zone;
  config.settings.settles = true;  // servers may tell what an operation truly cost
  return config;
}

// The whole of the limits is the one pool's.
config::PoolConfig only_pool(const config::Config& config) {
  const auto totals = config::totals_of(config.sockets, config.memory_mb);
  const auto whole = [](std::size_t total) { return pool::Part{total, total}; };
  config::PoolConfig pool;
  pool.name = pool.quota_group = kOnlyPool;
  pool.discovery = config.discovery;
  pool.nodes = config.known;
  pool.settings = config.settings;
  pool.load_fields = config.load_fields;
  pool.connect_timeout = config.connect_timeout;
  pool.connection_idle = config.connection_idle;
  pool.admission = {whole(totals.channels), whole(totals.channels), whole(totals.bytes)};
  pool.connections = whole(totals.connections);
  return pool;
}

std::unique_ptr<front::Front> make_front(core::Core& core, const std::vector<std::string>& load_fields,
                                         const std::optional<front::GraphqlSetup>& graphql,
                                         metrics::Counters& counters) {
  if (graphql) return std::make_unique<front::GraphqlFront>(core, *graphql, counters);
  return std::make_unique<front::PlatformFront>(core, load_fields, counters);
}

}  // namespace

Gatekeeper::Gatekeeper(net::asio::io_context& io, const config::Config& config, const Options& options,
                       metrics::Logger& logger)
    : io_(io),
      logger_(logger),
      name_(config.name),
      config_(with_graphql(config, options.graphql)),
      own_servers_(options.graphql.has_value()),
      drain_timer_(io),
      reap_timer_(io),
      shared_(pool::shared_of(config::totals_of(config.sockets, config.memory_mb))),
      peers_(io, config.peer_listen, config.peers, logger, counters_) {
  const auto pool = std::make_shared<pool::Pool>(
      io, only_pool(*config_), shared_, peers_, nullptr, [] { return false; }, logger, counters_);
  pools_[kOnlyPool] = {pool, nullptr};
  Listener listener;
  listener.config.name = kOnlyPool;
  listener.config.listen = config_->listen;
  listener.front = make_front(pool->core(), config_->load_fields, options.graphql, counters_);
  if (options.graphql) {
    listener.graphql = static_cast<front::GraphqlFront*>(listener.front.get());
  } else {
    listener.platform = static_cast<front::PlatformFront*>(listener.front.get());
  }
  listener.channels =
      std::make_unique<front::ChannelServer>(io, front::Door{config_->listen, config_->socket_fd},
                                             channel_limits_of(config_->sockets, config_->memory_mb, 1),
                                             *listener.front, lifecycle_, logger, counters_);
  listeners_.push_back(std::move(listener));
  open_management(config_->management);
  open_console(options);
  open_exports(options);
}

Gatekeeper::Gatekeeper(net::asio::io_context& io, const front::ServicesPlan& plan, const Options& options,
                       metrics::Logger& logger)
    : io_(io),
      logger_(logger),
      name_(plan.services.name),
      services_(plan.services),
      own_servers_(false),
      drain_timer_(io),
      reap_timer_(io),
      shared_(pool::shared_of(config::totals_of(services_->sockets, services_->memory_mb))),
      peers_(io, services_->peer_listen, services_->peers, logger, counters_) {
  const auto& services = *services_;
  peers_.tag_messages(services.peer_messages_per_s);
  pools_ = make_pools(services);
  for (std::size_t i = 0; i < services.listeners.size(); ++i) {
    const auto& config = services.listeners[i];
    Listener listener;
    listener.config = config;
    // What no pool answers is worded by a front of the first pool.
    const auto& first = *pools_.begin()->second.pool;
    auto plain = make_front(pools_.begin()->second.pool->core(), first.config().load_fields,
                            plan.listeners[i].graphql, counters_);
    auto routed = std::make_unique<front::RoutedFront>(std::move(plain), counters_);
    listener.routed = routed.get();
    listener.front = std::move(routed);
    listener.channels = std::make_unique<front::ChannelServer>(
        io, front::Door{config.listen},
        channel_limits_of(services.sockets, services.memory_mb, services.listeners.size()), *listener.front,
        lifecycle_, logger, counters_);
    listeners_.push_back(std::move(listener));
  }
  const auto routings = make_routings(plan, pools_);
  for (std::size_t i = 0; i < listeners_.size(); ++i) listeners_[i].routed->set(routings[i]);
  open_management(services_->management);
  open_console(options);
  open_exports(options);
}

// RPCs that are left hold what belongs to the pools that hold them.
Gatekeeper::~Gatekeeper() {
  net::LoopDelay::of(io_).on_high = {};
  for (auto& [name, member] : pools_) member.pool->core().forget_all();
  for (auto& member : leaving_) member.pool->core().forget_all();
}

void Gatekeeper::open_management(const std::optional<config::Address>& at) {
  if (at) management_ = std::make_unique<management::Management>(io_, *at, *this, logger_, counters_);
}

void Gatekeeper::open_console(const Options& options) {
  if (options.console.empty()) return;
  console_ = std::make_unique<console::Console>(
      io_, options.console, [this](const std::string& line) { return command(line); }, logger_);
}

void Gatekeeper::open_exports(const Options& options) {
  const auto interval =
      std::max(std::chrono::seconds(1), std::chrono::ceil<std::chrono::seconds>(options.export_every));
  if (!options.graphite.empty()) {
    const auto to = net::endpoint<net::tcp>(config::parse_address(options.graphite, "--graphite"));
    exporters_.push_back(std::make_unique<metrics::Exporter>(
        io_, to, options.export_every, false,
        [this] {
          const auto now = std::chrono::system_clock::now().time_since_epoch();
          return metrics::graphite_lines(counters(), figure(), name_,
                                         std::chrono::floor<std::chrono::seconds>(now));
        },
        logger_, counters_));
  }
  if (!options.collectd.empty()) {
    exporters_.push_back(std::make_unique<metrics::Exporter>(
        io_, net::asio::local::stream_protocol::endpoint(options.collectd), options.export_every, true,
        [this, interval] { return metrics::collectd_lines(counters(), figure(), name_, interval); }, logger_,
        counters_));
  }
}

void Gatekeeper::watch_loop() {
  net::LoopDelay::of(io_).on_high = [this](net::LoopDelay::Span delay) {
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(delay).count();
    logger_.log(metrics::Level::warning, "the event loop runs ", ms,
                " ms late: it has too little of a core, or a turn took long (turn_max_ms); see loop_late");
  };
}

void Gatekeeper::start() {
  watch_loop();
  open_handover();
  for (auto& [name, member] : pools_) {
    member.pool->start(member.pool->config().discovery.has_value() && !own_servers_);
  }
  for (auto& listener : listeners_) {
    listener.channels->start();
    logger_.log(metrics::Level::info, name_, " listens on ", listener.config.listen.host, ":",
                listener.config.listen.port);
  }
  lifecycle_.begin();
  if (management_) management_->start();
  if (console_) console_->start();
  for (auto& exporter : exporters_) exporter->start();
}

metrics::Counters Gatekeeper::counters() const {
  auto sum = summed_counters();
  count_loop(sum);
  for (const auto& [name, member] : pools_) count_attempts(member.pool->core(), sum);
  for (const auto& member : leaving_) count_attempts(member.pool->core(), sum);
  return sum;
}

metrics::Counters Gatekeeper::counters_of(const Member& member) const {
  if (!member.counters) return counters();
  auto own = *member.counters;
  count_loop(own);
  count_attempts(member.pool->core(), own);
  return own;
}

metrics::Counters Gatekeeper::summed_counters() const {
  auto sum = counters_;
  for (const auto& [name, member] : pools_) {
    if (member.counters) sum += *member.counters;
  }
  for (const auto& member : leaving_) sum += *member.counters;
  sum.log_lines_dropped = logger_.dropped();
  return sum;
}

void Gatekeeper::count_attempts(const core::Core& core, metrics::Counters& sum) {
  sum.attempts_unplaced += core.unplaced_outcomes();
  sum.attempts_out += static_cast<metrics::Counters::Count>(core.attempts_out());
  for (const auto& [worker, held] : core.attempts_by_worker())
    sum.attempts_held += static_cast<metrics::Counters::Count>(held);
}

void Gatekeeper::count_loop(metrics::Counters& sum) const {
  const auto ms = [](std::chrono::nanoseconds span) {
    return static_cast<metrics::Counters::Count>(
        std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
  };
  const auto& delay = net::LoopDelay::of(io_);
  const auto& turns = net::TurnScheduler::of(io_);
  sum.loop_late = delay.late();
  sum.loop_delay_ms = ms(delay.last());
  sum.loop_delay_max_ms = ms(delay.longest());
  sum.turns_long = turns.long_turns();
  sum.turn_max_ms = ms(turns.longest_turn());
}

metrics::Figures Gatekeeper::figure() const {
  metrics::Figures figures;
  figures.lanes = summed_counters().lanes;
  figures.pending = busy_channels();
  for (const auto& [name, member] : pools_) {
    figures.members += member.pool->nodes().size();
    figures.members_unavailable += member.pool->core().avoided();
  }
  return figures;
}

std::size_t Gatekeeper::in_flight() const {
  std::size_t sum = 0;
  for (const auto& [name, member] : pools_) sum += member.pool->core().in_flight();
  for (const auto& member : leaving_) sum += member.pool->core().in_flight();
  return sum;
}

// Quotas, RPCs and channels stay; the watch moves to the file's `discovery`.
void Gatekeeper::reload(const std::function<config::Config()>& read) {
  try {
    const auto file = read();
    ++counters_.reloads;
    for (const auto& key : config::fixed_until_restart(*config_, file)) {
      logger_.log(metrics::Level::warning, "reload: ", key, " differs, which needs a restart");
    }
    if (file.discovery == config_->discovery) return;
    config_->discovery = file.discovery;
    logger_.log(metrics::Level::info, "reload: discovery is at ", file.discovery.host, ":",
                file.discovery.port);
    pools_.at(kOnlyPool).pool->move_discovery(file.discovery);
  } catch (const std::exception& error) {
    ++counters_.reloads_rejected;
    logger_.log(metrics::Level::error, "reload: the configuration stays as it was: ", error.what());
  }
}

// Schema, costs, limits and trusted documents change; what was admitted under the old ones ends under them.
void Gatekeeper::reload_graphql(const std::function<front::GraphqlSetup()>& read) {
  try {
    auto setup = read();
    auto& front = *listeners_.front().graphql;
    for (const auto& key : config::fixed_until_restart(front.setup().file, setup.file)) {
      logger_.log(metrics::Level::warning, "reload: ", key, " differs, which needs a restart");
    }
    setup.file.path = front.setup().file.path;
    setup.file.reading = front.setup().file.reading;
    setup.file.booking = front.setup().file.booking;
    front.adopt(std::move(setup));
    ++counters_.reloads;
    logger_.log(metrics::Level::info, "reload: the GraphQL file is taken up");
  } catch (const std::exception& error) {
    ++counters_.reloads_rejected;
    logger_.log(metrics::Level::error, "reload: the configuration stays as it was: ", error.what());
  }
}

// As an operator says: the front is told no, answers end their channels, all else goes on.
void Gatekeeper::drain(bool on) {
  if (!lifecycle_.drain(on, net::Clock::now())) return;
  logger_.log(metrics::Level::info, on ? "drained by an operator" : "back to work");
}

void Gatekeeper::drain() {
  if (!lifecycle_.end(net::Clock::now())) return;
  for (auto& [name, member] : pools_) member.pool->core().leaving();
  net::spawn(io_, logger_, "drain", wind_down());
}

// SIGKILL comes once the longest deadline is over, and a little later.
std::chrono::nanoseconds Gatekeeper::longest_drain() const {
  std::chrono::nanoseconds longest{};
  for (const auto& [name, member] : pools_) {
    for (const auto& c : member.pool->config().settings.classes) {
      longest = std::max(longest, std::chrono::nanoseconds(c.give_up));
    }
  }
  return std::min<std::chrono::nanoseconds>(longest, kLongestCounted) + kAfterDeadline;
}

net::awaitable<void> Gatekeeper::wind_down() {
  lifecycle::PlannedEnd end(net::Clock::now(), longest_drain());
  bool late = false;
  for (;;) {
    const auto now = net::Clock::now();
    if (end.gives_up(now)) {
      give_up();
      if (!std::exchange(late, true)) stop_accepting();
    }
    if (end.over(now, busy_channels())) break;
    if (lifecycle_.closes_idle(now)) {
      if (idle()) break;
      for (auto& listener : listeners_) listener.channels->drain();
    }
    drain_timer_.expires_after(kLook);
    co_await drain_timer_.async_wait(net::kResult);
  }
  give_up();
  stop_accepting();
  io_.stop();
}

void Gatekeeper::stop_accepting() {
  for (auto& listener : listeners_) listener.channels->stop();
  if (const auto left = busy_channels(); left > 0) {
    logger_.log(metrics::Level::info, "the planned end waits for ", left, " answers that are under way");
  }
}

bool Gatekeeper::idle() const {
  return in_flight() == 0 && std::all_of(listeners_.begin(), listeners_.end(),
                                         [](const auto& listener) { return listener.channels->idle(); });
}

std::size_t Gatekeeper::busy_channels() const {
  std::size_t sum = 0;
  for (const auto& listener : listeners_) sum += listener.channels->busy();
  return sum;
}

// What nobody has answered in time is answered now: nothing that was taken is lost.
void Gatekeeper::give_up() {
  for (auto& [name, member] : pools_) member.pool->core().give_up();
  for (auto& member : leaving_) member.pool->core().give_up();
}

// ---- several services ---------------------------------------------------------------------------

Gatekeeper::Member Gatekeeper::make_pool(const config::PoolConfig& config, const Members& others) {
  Member member;
  member.counters = std::make_shared<metrics::Counters>();
  pool::Pool* group = nullptr;
  for (const auto& [name, other] : others) {
    if (other.pool->config().quota_group == config.quota_group) group = other.pool.get();
  }
  auto settings = config;
  settings.settings.message_bytes = peers::kMaxTaggedMessageBytes;
  settings.settings.seed ^= peers::tag_of(config.name);
  member.pool = std::make_shared<pool::Pool>(
      io_, settings, shared_, peers_, group,
      [this, asker = config.name] {
        const auto at = pools_.find(asker);
        return at != pools_.end() && reclaim(*at->second.pool);
      },
      logger_, *member.counters);
  return member;
}

// Pools that can stay as they are, and those that are new; nothing of what runs is touched.
Gatekeeper::Members Gatekeeper::make_pools(const config::Services& services) {
  Members members;
  for (const auto& [name, config] : services.pools) {
    const auto old = pools_.find(name);
    if (old != pools_.end() && config::same_module(services_->pools.at(name), config))
      members[name] = old->second;
  }
  for (const auto& [name, config] : services.pools) {
    if (!members.contains(name)) members[name] = make_pool(config, members);
  }
  return members;
}

// A front of a pool that stays knows which request ids and subscriptions are open: it stays, too.
std::shared_ptr<front::PoolFront> Gatekeeper::make_pool_front(
    std::size_t listener, const Member& member, const std::optional<front::GraphqlSetup>& graphql,
    front::Routing& routing) {
  if (listeners_[listener].routed->has_routing()) {
    const auto& old = listeners_[listener].routed->routing().pools;
    const auto at = old.find(member.pool->name());
    if (at != old.end() && at->second->pool == member.pool) {
      if (graphql) {
        front::GraphqlFront::check(member.pool->core(), *graphql);
        auto& stays = static_cast<front::GraphqlFront&>(*at->second->front);
        routing.adoptions.emplace_back([&stays, setup = *graphql] { stays.adopt(setup); });
      }
      return at->second;
    }
  }
  auto made = std::make_shared<front::PoolFront>();
  made->pool = member.pool;
  made->front = make_front(member.pool->core(), member.pool->config().load_fields, graphql, *member.counters);
  return made;
}

Gatekeeper::Routings Gatekeeper::make_routings(const front::ServicesPlan& plan, const Members& members) {
  Routings routings;
  for (std::size_t i = 0; i < plan.listeners.size(); ++i) {
    auto routing = std::make_shared<front::Routing>();
    routing->table = plan.listeners[i].table;
    for (const auto& route : routing->table->routes()) {
      routing->by_class = routing->by_class || !route.classes.empty() || !route.overflow.empty();
      auto names =
          route.overflow.empty() ? std::vector<std::string>{} : std::vector<std::string>{route.overflow};
      for (const auto& share : route.shares) names.push_back(share.pool);
      for (const auto& name : names) {
        auto& slot = routing->pools[name];
        if (!slot) slot = make_pool_front(i, members.at(name), plan.listeners[i].graphql, *routing);
      }
    }
    routings.push_back(std::move(routing));
  }
  return routings;
}

void Gatekeeper::reload_services(const std::function<front::ServicesPlan()>& read) {
  try {
    const auto plan = read();
    if (plan.services.listeners != services_->listeners) {
      throw config::Error("listeners differ, which needs a restart");
    }
    apply(plan);
    ++counters_.reloads;
  } catch (const std::exception& error) {
    ++counters_.reloads_rejected;
    logger_.log(metrics::Level::error, "reload: the configuration stays as it was: ", error.what());
  }
}

// All that may fail comes first; then one swap, between two turns. An RPC stays with the pool that took it.
void Gatekeeper::apply(const front::ServicesPlan& plan) {
  const auto& services = plan.services;
  auto members = make_pools(services);
  const auto routings = make_routings(plan, members);
  std::size_t added = 0, removed = 0;
  for (auto& [name, member] : members) {
    const auto old = pools_.find(name);
    if (old != pools_.end() && old->second.pool == member.pool) {
      member.pool->alter(services.pools.at(name));
    } else {
      member.pool->start(member.pool->config().discovery.has_value());
      ++added;
    }
  }
  for (std::size_t i = 0; i < listeners_.size(); ++i) {
    listeners_[i].config = services.listeners[i];
    listeners_[i].routed->set(routings[i]);
    for (const auto& adopt : std::exchange(routings[i]->adoptions, {})) adopt();
  }
  for (auto& [name, member] : pools_) {
    const auto now = members.find(name);
    if (now != members.end() && now->second.pool == member.pool) continue;
    member.pool->leave();
    leaving_.push_back(member);
    ++removed;
  }
  pools_ = std::move(members);
  services_ = services;
  logger_.log(metrics::Level::info, metrics::Field{"pools", std::to_string(pools_.size())},
              "reload: ", pools_.size(), " pools, ", added, " of them new, ", removed, " removed");
  if (!leaving_.empty() && !std::exchange(reaping_, true)) net::spawn(io_, logger_, "removed pools", reap());
}

// A routing that requests were admitted under refers to its pools until the last of these has ended: they may
// yet overflow into one, and fronts with open subscriptions belong to it.
bool Gatekeeper::referred_to(const Member& member) { return member.pool.use_count() > 1; }

net::awaitable<void> Gatekeeper::reap() {
  while (!leaving_.empty()) {
    reap_timer_.expires_after(kReap);
    co_await reap_timer_.async_wait(net::kResult);
    std::erase_if(leaving_, [this](const Member& member) {
      if (referred_to(member) || !member.pool->over()) return false;
      counters_ += *member.counters;
      ++counters_.pools_removed;
      return true;
    });
  }
  reaping_ = false;
}

// An idle connection that another pool was lent.
bool Gatekeeper::reclaim(const pool::Pool& asker) {
  return std::any_of(pools_.begin(), pools_.end(), [&](const auto& item) {
    auto& pool = *item.second.pool;
    return &pool != &asker && pool.connections().lent() > 0 && pool.attempts().close_oldest_idle();
  });
}

}  // namespace cranemux
