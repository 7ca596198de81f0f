// The file of a GraphQL front, as deploy/graphql.json tells it: JSON or YAML.
#pragma once

#include "config/config.h"
#include "graphql/engine.h"
#include "graphql/subscribers.h"

namespace cranemux::config {

struct GraphqlFile {
  Address listen;
  std::string path = "/graphql";
  std::vector<ListEntry> servers;
  std::string reading = "job-status", booking = "book-job";  // the classes that operations belong to
  bool cost_in_answers = false;                              // `extensions.cost`
  graphql::EngineConfig engine;
  graphql::SubscriptionLimits subscriptions;
};

// Throws Error with a line for each fault, which names file, line, column and key. `alone`: the file tells
// where to listen and who the servers are; else a file of services does. `schema` and `persisted.trusted` are
// paths, relative to the file.
GraphqlFile parse_graphql_file(const std::string& text, const std::string& file, bool alone);
GraphqlFile load_graphql_file(const std::string& file, bool alone);

// What a reload can't change: the keys that differ.
std::vector<std::string> fixed_until_restart(const GraphqlFile& running, const GraphqlFile& file);

}  // namespace cranemux::config
