// GraphQL with costs by query: the second front. A request, or a batch of them, becomes one RPC.
#pragma once

#include "attempt/attempts.h"
#include "front/channel_server.h"
#include "front/graphql/price.h"

namespace cranemux::front {

struct GraphqlConfig {  // as deploy/graphql.json tells it
  config::Address listen;
  std::string path = "/graphql";
  std::vector<config::ListEntry> servers;
  std::string reading = "job-status", booking = "book-job";  // the classes that operations belong to
  graphql::Costs costs;
  graphql::Limits limits;
};
GraphqlConfig parse_graphql_config(std::string_view text);  // throws config::Error, which names the key

class GraphqlFront : public Front {
 public:
  GraphqlFront(core::Core& core, GraphqlConfig config, metrics::Counters& counters);
  Handled request(const http::Message& message, const std::shared_ptr<core::Channel>& channel) override;
  Reply answer(core::FinalAnswer&& answer, const std::shared_ptr<void>& context) override;
  Reply malformed(int status) override;

 private:
  struct Context;
  Handled take(const http::Message& message, const std::shared_ptr<core::Channel>& channel);
  graphql::Price price(const json::Value& request, bool safe_method) const;

  core::Core& core_;
  const GraphqlConfig config_;
  metrics::Counters& counters_;
};

}  // namespace cranemux::front
