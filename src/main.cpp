// cranemux: the command line. What a command does is in src/cli.
#include <CLI/CLI.hpp>
#include <functional>
#include <iostream>

#include "cli/commands.h"

namespace {

using namespace cranemux::cli;
using Run = std::function<int()>;

void add_serve(CLI::App& app, ServeCommand& command, Run& run) {
  auto* serving = app.add_subcommand("serve", "Serve, as the ROUTER_ variables say");
  serving->add_option("--log", command.log, "Least level of log lines")
      ->check(CLI::IsMember({"debug", "info", "warning", "error"}));
  serving->add_option("--log-format", command.log_format, "Lines of text, or of one JSON object each")
      ->check(CLI::IsMember({"text", "json"}));
  serving->add_option("--config", command.services, "Several services, as this YAML file has them")
      ->excludes(serving->add_option("--graphql", command.graphql,
                                     "Serve GraphQL as this file says, not the platform's protocol"));
  serving->add_option("--console", command.console, "Unix socket for the console; off where not given");
  serving->add_option("--graphite", command.graphite, "address:port of a Graphite receiver of plain text");
  serving->add_option("--collectd", command.collectd, "Unix socket of collectd's unixsock plugin");
  serving->add_option("--export-every", command.export_s, "Seconds between exports")
      ->check(CLI::Range(0.05, 3600.0));
  serving->callback([&command, &run] { run = [&command] { return serve(command); }; });
}

void add_check(CLI::App& app, CheckCommand& command, Run& run) {
  auto* checking = app.add_subcommand("check-config", "Read and check the configuration, then end");
  checking->add_option("--graphql", command.graphql, "Check this GraphQL file, too");
  checking->add_option("--config", command.services,
                       "Check this file of several services, and print its routes and pools");
  checking->callback([&command, &run] { run = [&command] { return check_config(command); }; });
}

void add_route(CLI::App& app, RouteCommand& asked, Run& run) {
  auto* explaining = app.add_subcommand("route", "Say which route and pool would take a request, and why");
  explaining->add_option("file", asked.file, "The file that serve --config is given")->required();
  explaining->add_option("--listener", asked.listener, "Only this one");
  explaining->add_option("--host", asked.host, "The Host field")->required();
  explaining->add_option("--path", asked.path, "The target");
  explaining->add_option("--method", asked.method);
  explaining->add_option("--class", asked.klass);
  explaining->add_option("--customer", asked.customer, "16 hex digits, for routes that are split");
  explaining->callback([&asked, &run] { run = [&asked] { return explain_route(asked); }; });
}

void add_quota_bound(CLI::App& app, QuotaBoundCommand& command, Run& run) {
  auto* bounding =
      app.add_subcommand("quota-bound", "Say how far beyond its quota a customer can get, term by term");
  bounding->add_option("file", command.file, "The file that serve --config is given")->required();
  bounding->add_option("--gatekeepers", command.gatekeepers, "Of the tier; else as the file has it")
      ->check(CLI::Range(1, 1000));
  bounding->add_option("--loss", command.loss, "Of a message, 0 to 1")->check(CLI::Range(0.0, 0.9));
  bounding->add_option("--delay-ms", command.delay_ms, "Of a message, mostly")
      ->check(CLI::Range(0.0, 10'000.0));
  bounding->add_option("--restarts-per-minute", command.restarts, "Of single gatekeepers")
      ->check(CLI::Range(0.0, 1e4));
  bounding->add_option("--splits-per-minute", command.splits)->check(CLI::Range(0.0, 1e4));
  bounding->add_option("--window-s", command.window_s, "Share of what the quota allows in that time")
      ->check(CLI::Range(0.001, 1e6));
  bounding->add_flag("--json", command.as_json, "One JSON object");
  bounding->callback([&command, &run] { run = [&command] { return quota_bound(command); }; });
}

void add_graphql(CLI::App& app, GraphqlCommand& command, Run& run) {
  auto* graphql = app.add_subcommand("graphql", "Schemas, documents and costs, without a gatekeeper");
  graphql->require_subcommand(1);
  const auto add = [&](const char* name, const char* what, int (*act)(const GraphqlCommand&)) {
    auto* sub = graphql->add_subcommand(name, what);
    sub->add_option("schema", command.schema, "A file in the schema language")->required();
    sub->callback([&command, &run, act] { run = [&command, act] { return act(command); }; });
    return sub;
  };
  add("check", "Check a schema", graphql_check);
  auto* validating = add("validate", "Check a document against a schema", graphql_validate);
  validating->add_option("document", command.document, "A file with operations")->required();
  auto* pricing = add("price", "Say what an operation costs, by field", graphql_price);
  pricing->add_option("document", command.document, "A file with operations")->required();
  pricing->add_option("--variables", command.variables, "A file with a JSON object");
  pricing->add_option("--operation", command.operation, "Its name, where there are several");
  pricing->add_option("--usual-size", command.usual_size, "Items of a list of which nothing is told");
  pricing->add_flag("--json", command.as_json, "One JSON object");
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"cranemux: a gatekeeper that holds customers' quotas over all gatekeepers together"};
  app.require_subcommand(1);
  app.set_version_flag("--version", "cranemux " CRANEMUX_VERSION);
  Run run;
  ServeCommand serving;
  CheckCommand checking;
  RouteCommand asked;
  GraphqlCommand graphql;
  QuotaBoundCommand bounding;
  std::string socket, command;
  add_serve(app, serving, run);
  add_check(app, checking, run);
  add_route(app, asked, run);
  add_graphql(app, graphql, run);
  add_quota_bound(app, bounding, run);
  auto* talking =
      app.add_subcommand("console", "Talk to a running gatekeeper; commands from the terminal or --run");
  talking->add_option("--socket", socket, "The path that serve --console was given")->required();
  talking->add_option("--run", command, "One command, then end");
  talking->callback([&] { run = [&] { return talk(socket, command); }; });
  app.add_subcommand("version", "Print the version")->callback([&run] {
    run = [] {
      std::cout << "cranemux " << CRANEMUX_VERSION << '\n';
      return 0;
    };
  });
  CLI11_PARSE(app, argc, argv);
  try {
    return run();
  } catch (const std::exception& error) {
    std::cerr << "cranemux: " << error.what() << '\n';
    return 1;
  }
}
