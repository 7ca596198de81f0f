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
// Throws config::Error, which names the key. `alone`: the file tells where to listen and who the servers are;
// else a file of services does.
GraphqlConfig parse_graphql_config(std::string_view text, bool alone = true);

class GraphqlFront : public Front {
 public:
  GraphqlFront(core::Core& core, GraphqlConfig config, metrics::Counters& counters);
  Handled request(const Incoming& incoming) override;
  Reply answer(core::FinalAnswer&& answer, const std::shared_ptr<void>& context) override;
  Reply malformed(int status) override;
  Reply unavailable(std::chrono::nanoseconds come_back, const http::Message& message) override;
  void abandoned(core::RpcId rpc, const std::shared_ptr<void>&) override { core_.abandoned(rpc); }
  std::string class_of(const http::Message& message) const override;

 private:
  struct Context;
  Handled take(const Incoming& incoming);
  graphql::Price price(const json::Value& request, bool safe_method) const;

  core::Core& core_;
  const GraphqlConfig config_;
  metrics::Counters& counters_;
};

}  // namespace cranemux::front
