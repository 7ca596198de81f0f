// cranemux: the command line.
#include <CLI/CLI.hpp>
#include <cstdlib>
#include <iostream>

#include "gatekeeper.h"

namespace {

constexpr const char* kVersion = "0.3.0";
using namespace cranemux;

config::Config load_from_environment() {
  return config::load([](const char* name) -> std::optional<std::string> {
    const char* value = std::getenv(name);
    return value ? std::optional<std::string>(value) : std::nullopt;
  });
}

int serve(metrics::Level level, const std::string& graphql_file) {
  metrics::Logger logger(std::cerr, level);
  net::asio::io_context io(1);
  std::optional<front::GraphqlConfig> graphql;
  if (!graphql_file.empty()) {
    graphql = front::parse_graphql_config(config::read_file(graphql_file, "--graphql"));
  }
  Gatekeeper gatekeeper(io, load_from_environment(), graphql, logger);
  net::asio::signal_set stops(io, SIGTERM, SIGINT);
  stops.async_wait([&](const boost::system::error_code& error, int) {
    if (!error) gatekeeper.drain();
  });
  net::asio::signal_set asks(io, SIGUSR1);
  std::function<void(const boost::system::error_code&, int)> print = [&](const auto& error, int) {
    if (error) return;
    std::cerr << gatekeeper.counters() << std::flush;
    asks.async_wait(print);
  };
  asks.async_wait(print);
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
  std::string graphql;
  serving->add_option("--graphql", graphql, "Serve GraphQL as this file says, not the platform's protocol");
  auto* version = app.add_subcommand("version", "Print the version");
  auto* checking = app.add_subcommand("check-config", "Read and check the configuration, then end");
  CLI11_PARSE(app, argc, argv);
  try {
    if (version->parsed()) std::cout << "cranemux " << kVersion << '\n';
    if (checking->parsed()) {
      const auto config = load_from_environment();
      std::cout << "good: " << config.name << " of " << config.settings.gateways << ", "
                << config.settings.classes.size() << " classes, " << config.settings.plans.size()
                << " plans, " << config.known.entries.size() << " nodes known\n";
    }
    if (serving->parsed()) return serve(*metrics::level_named(level), graphql);
  } catch (const std::exception& error) {
    std::cerr << "cranemux: " << error.what() << '\n';
    return 1;
  }
  return 0;
}
