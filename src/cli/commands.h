// What the command line can ask for: plain options and a function each, which throws what it has to say of a
// fault and returns the exit code.
#pragma once

#include <optional>
#include <string>

namespace cranemux::cli {

std::optional<std::string> environment(const char* name);

struct ServeCommand {
  std::string log = "info", log_format = "text";
  std::string services, graphql;            // files, at most one of them
  std::string console, graphite, collectd;  // off where empty
  double export_s = 10;
};
int serve(const ServeCommand& command);
int talk(const std::string& socket, const std::string& command);

struct CheckCommand {
  std::string services, graphql;
};
int check_config(const CheckCommand& command);

struct RouteCommand {
  std::string file, listener, host, path = "/", method = "GET", klass, customer;
};
// Which route and pool would take a request, and why. 0: one takes it, 1: none does.
int explain_route(const RouteCommand& asked);

struct QuotaBoundCommand {
  std::string file;
  int gatekeepers = 0;  // 0: as the file has it
  double loss = 0.05, delay_ms = 15, restarts = 1, splits = 0, window_s = 2;
  bool as_json = false;
};
// How far beyond its quota a customer can get, by plan: the bound in advance.
int quota_bound(const QuotaBoundCommand& command);

struct GraphqlCommand {
  std::string schema, document, variables, operation;  // the first three are files
  double usual_size = 10;
  bool as_json = false;
};
int graphql_check(const GraphqlCommand& command);     // the schema
int graphql_validate(const GraphqlCommand& command);  // a document against it; 1: it is not valid
int graphql_price(const GraphqlCommand& command);     // an operation's cost, by field

}  // namespace cranemux::cli
