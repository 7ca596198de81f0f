// cranemux: the command line.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <future>
#include <iostream>

#include "aside.h"
#include "gatekeeper.h"

namespace {

using namespace cranemux;

std::optional<std::string> environment(const char* name) {
  const char* value = std::getenv(name);
  return value ? std::optional<std::string>(value) : std::nullopt;
}

constexpr std::chrono::milliseconds kFlush{250};

// What waits for a reader of the log that had stalled goes on as soon as it reads again.
net::awaitable<void> flush_log(metrics::Logger& logger) {
  net::asio::steady_timer timer(co_await net::asio::this_coro::executor);
  for (;;) {
    timer.expires_after(kFlush);
    co_await timer.async_wait(net::kResult);
    logger.flush();
  }
}

struct LogOptions {
  std::string level = "info", form = "text";
};

// Reads a file beside the serving thread; what that brings, the result or a fault, is taken up by that
// thread.
template <typename Result>
void read_beside(Aside& aside, std::function<Result()> read,
                 std::function<void(std::function<Result()>)> take_up) {
  aside.run([read, take_up]() -> Aside::Then {
    auto result = std::make_shared<std::promise<Result>>();
    try {
      result->set_value(read());
    } catch (...) {
      result->set_exception(std::current_exception());
    }
    return [take_up, result] { take_up([result] { return result->get_future().get(); }); };
  });
}

struct Files {
  std::string services, graphql;  // at most one of them
};

void reload(Aside& aside, Gatekeeper& gatekeeper, const Files& files) {
  if (!files.services.empty()) {
    read_beside<front::ServicesPlan>(
        aside, [file = files.services] { return front::plan_services(file, environment); },
        [&gatekeeper](const auto& read) { gatekeeper.reload_services(read); });
  } else if (!files.graphql.empty()) {
    read_beside<front::GraphqlSetup>(
        aside, [file = files.graphql] { return front::set_up_graphql(file, true); },
        [&gatekeeper](const auto& read) { gatekeeper.reload_graphql(read); });
  } else {
    gatekeeper.reload([] { return config::reload(environment); });
  }
}

int serve(const LogOptions& log, const Options& options, const Files& files) {
  metrics::Logger logger(STDERR_FILENO, *metrics::level_named(log.level),
                         log.form == "json" ? metrics::LogForm::json : metrics::LogForm::text);
  net::asio::io_context io(1);
  std::optional<Gatekeeper> gatekeeper;
  if (files.services.empty()) {
    gatekeeper.emplace(io, config::load(environment), options, logger);
  } else {
    gatekeeper.emplace(io, front::plan_services(files.services, environment), options, logger);
  }
  net::asio::signal_set stops(io, SIGTERM, SIGINT);
  stops.async_wait([&](const boost::system::error_code& error, int) {
    if (!error) gatekeeper->drain();
  });
  Aside aside(io);
  net::asio::signal_set asks(io, SIGUSR1, SIGHUP);
  std::function<void(const boost::system::error_code&, int)> asked = [&](const auto& error, int signal) {
    if (error) return;
    if (signal == SIGUSR1) std::cerr << gatekeeper->counters() << std::flush;
    if (signal == SIGHUP) reload(aside, *gatekeeper, files);
    asks.async_wait(asked);
  };
  asks.async_wait(asked);
  net::spawn(io, logger, "log", flush_log(logger));
  gatekeeper->start();
  io.run();
  std::cerr << gatekeeper->counters() << std::flush;
  return 0;
}

int check_services(const std::string& file) {
  const auto plan = front::plan_services(file, environment);
  const auto& services = plan.services;
  for (const auto& listener : services.listeners) {
    std::cout << "listener " << listener.name << " on " << listener.listen.host << ':' << listener.listen.port
              << (listener.front == config::FrontKind::graphql ? " graphql" : " platform") << '\n';
    for (const auto& route : listener.routes) std::cout << "  route " << routing::describe(route) << '\n';
  }
  for (const auto& [name, pool] : services.pools) {
    std::cout << "pool " << name << ": "
              << (pool.discovery ? "nodes from discovery"
                                 : std::to_string(pool.nodes.entries.size()) + " nodes")
              << ", quotas of " << pool.quota_group;
    for (const auto resource : {pool::Resource::channels, pool::Resource::rpcs, pool::Resource::bytes}) {
      const auto& part = pool.admission[static_cast<std::size_t>(resource)];
      std::cout << ", " << pool::name_of(resource) << ' ' << part.guaranteed << " to " << part.most;
    }
    std::cout << ", connections " << pool.connections.guaranteed << " to " << pool.connections.most << '\n';
  }
  std::cout << "good: " << services.name << ", " << services.pools.size() << " pools\n";
  return 0;
}

struct Asked {
  std::string listener, host, path = "/", method = "GET", klass, customer;
};

// Which route and pool would take a request, and why. 0: one takes it, 1: none does.
int explain_route(const std::string& file, const Asked& asked) {
  const auto services = config::load_services(file, environment);
  const auto where = routing::normalise(asked.path, {asked.host});
  if (where.fault != routing::Fault::none) {
    std::cout << "400: " << routing::name_of(where.fault) << '\n';
    return 1;
  }
  int code = 1;
  for (const auto& listener : services.listeners) {
    if (!asked.listener.empty() && asked.listener != listener.name) continue;
    const routing::RouteTable table(listener.routes);
    const routing::Query query{where.host, where.path, asked.method, asked.klass};
    std::cout << "listener " << listener.name << ": host " << where.host << " path " << where.path << '\n';
    for (const auto& line : table.explain(query)) std::cout << "  " << line << '\n';
    const auto found = table.find(query);
    if (!found.route) continue;
    const auto share = routing::choose_share(asked.customer, found.route->shares);
    std::cout << "  pool " << found.route->shares[share].pool;
    if (found.route->shares.size() > 1) std::cout << " (by its share, for customer " << asked.customer << ')';
    if (!found.route->overflow.empty()) std::cout << ", overflow " << found.route->overflow;
    std::cout << '\n';
    code = 0;
  }
  return code;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"cranemux: a gatekeeper that holds customers' quotas over all gatekeepers together"};
  app.require_subcommand(1);
  app.set_version_flag("--version", "cranemux " CRANEMUX_VERSION);
  LogOptions log;
  auto* serving = app.add_subcommand("serve", "Serve, as the ROUTER_ variables say");
  serving->add_option("--log", log.level, "Least level of log lines")
      ->check(CLI::IsMember({"debug", "info", "warning", "error"}));
  serving->add_option("--log-format", log.form, "Lines of text, or of one JSON object each")
      ->check(CLI::IsMember({"text", "json"}));
  std::string graphql, socket, command, file;
  serving->add_option("--config", file, "Several services, as this YAML file has them")
      ->excludes(serving->add_option("--graphql", graphql,
                                     "Serve GraphQL as this file says, not the platform's protocol"));
  Options options;
  double export_s = 10;
  serving->add_option("--console", options.console, "Unix socket for the console; off where not given");
  serving->add_option("--graphite", options.graphite, "address:port of a Graphite receiver of plain text");
  serving->add_option("--collectd", options.collectd, "Unix socket of collectd's unixsock plugin");
  serving->add_option("--export-every", export_s, "Seconds between exports")->check(CLI::Range(0.05, 3600.0));
  auto* talking =
      app.add_subcommand("console", "Talk to a running gatekeeper; commands from the terminal or --run");
  talking->add_option("--socket", socket, "The path that serve --console was given")->required();
  talking->add_option("--run", command, "One command, then end");
  auto* version = app.add_subcommand("version", "Print the version");
  auto* checking = app.add_subcommand("check-config", "Read and check the configuration, then end");
  checking->add_option("--graphql", graphql, "Check this GraphQL file, too");
  checking->add_option("--config", file,
                       "Check this file of several services, and print its routes and pools");
  Asked asked;
  auto* explaining = app.add_subcommand("route", "Say which route and pool would take a request, and why");
  explaining->add_option("file", file, "The file that serve --config is given")->required();
  explaining->add_option("--listener", asked.listener, "Only this one");
  explaining->add_option("--host", asked.host, "The Host field")->required();
  explaining->add_option("--path", asked.path, "The target");
  explaining->add_option("--method", asked.method);
  explaining->add_option("--class", asked.klass);
  explaining->add_option("--customer", asked.customer, "16 hex digits, for routes that are split");
  CLI11_PARSE(app, argc, argv);
  try {
    if (version->parsed()) std::cout << "cranemux " << CRANEMUX_VERSION << '\n';
    if (explaining->parsed()) return explain_route(file, asked);
    if (checking->parsed() && !file.empty()) return check_services(file);
    if (checking->parsed()) {
      if (!graphql.empty()) front::set_up_graphql(graphql, true);
      const auto config = config::load(environment);
      std::cout << "good: " << config.name << " of " << config.settings.gateways << ", "
                << config.settings.classes.size() << " classes, " << config.settings.plans.size()
                << " plans, " << config.known.entries.size() << " nodes known\n";
    }
    if (talking->parsed()) return console::run_client(socket, command);
    if (serving->parsed()) {
      options.export_every = std::chrono::milliseconds(static_cast<std::int64_t>(export_s * 1000));
      if (!graphql.empty()) options.graphql = front::set_up_graphql(graphql, true);
      return serve(log, options, {file, graphql});
    }
  } catch (const std::exception& error) {
    std::cerr << "cranemux: " << error.what() << '\n';
    return 1;
  }
  return 0;
}
