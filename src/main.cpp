// cranemux: the command line.
#include <CLI/CLI.hpp>
#include <cstdlib>
#include <iostream>

#include "gatekeeper.h"

namespace {

using namespace cranemux;

std::optional<std::string> environment(const char* name) {
  const char* value = std::getenv(name);
  return value ? std::optional<std::string>(value) : std::nullopt;
}

int serve(metrics::Level level, const Options& options) {
  metrics::Logger logger(std::cerr, level);
  net::asio::io_context io(1);
  Gatekeeper gatekeeper(io, config::load(environment), options, logger);
  net::asio::signal_set stops(io, SIGTERM, SIGINT);
  stops.async_wait([&](const boost::system::error_code& error, int) {
    if (!error) gatekeeper.drain();
  });
  net::asio::signal_set asks(io, SIGUSR1, SIGHUP);
  std::function<void(const boost::system::error_code&, int)> asked = [&](const auto& error, int signal) {
    if (error) return;
    if (signal == SIGUSR1) std::cerr << gatekeeper.counters() << std::flush;
    if (signal == SIGHUP) gatekeeper.reload([] { return config::reload(environment); });
    asks.async_wait(asked);
  };
  asks.async_wait(asked);
  gatekeeper.start();
  io.run();
  std::cerr << gatekeeper.counters() << std::flush;
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"cranemux: a gatekeeper that holds customers' quotas over all gatekeepers together"};
  app.require_subcommand(1);
  std::string level = "info";
  auto* serving = app.add_subcommand("serve", "Serve, as the ROUTER_ variables say");
  serving->add_option("--log", level, "Least level of log lines")
      ->check(CLI::IsMember({"debug", "info", "warning", "error"}));
  std::string graphql, socket, command;
  Options options;
  double export_s = 10;
  serving->add_option("--graphql", graphql, "Serve GraphQL as this file says, not the platform's protocol");
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
  CLI11_PARSE(app, argc, argv);
  try {
    if (version->parsed()) std::cout << "cranemux " << CRANEMUX_VERSION << '\n';
    if (checking->parsed()) {
      if (!graphql.empty()) front::parse_graphql_config(config::read_file(graphql, "--graphql"));
      const auto config = config::load(environment);
      std::cout << "good: " << config.name << " of " << config.settings.gateways << ", "
                << config.settings.classes.size() << " classes, " << config.settings.plans.size()
                << " plans, " << config.known.entries.size() << " nodes known\n";
    }
    if (talking->parsed()) return console::run_client(socket, command);
    if (serving->parsed()) {
      options.export_every = std::chrono::milliseconds(static_cast<std::int64_t>(export_s * 1000));
      if (!graphql.empty())
        options.graphql = front::parse_graphql_config(config::read_file(graphql, "--graphql"));
      return serve(*metrics::level_named(level), options);
    }
  } catch (const std::exception& error) {
    std::cerr << "cranemux: " << error.what() << '\n';
    return 1;
  }
  return 0;
}
