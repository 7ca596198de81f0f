// GraphQL with costs by query: the second front. It adapts what src/graphql decides to HTTP; a request, or a
// batch of them, becomes one RPC.
#pragma once

#include "attempt/attempts.h"
#include "config/graphql_file.h"
#include "front/channel_server.h"
#include "front/graphql/subscription.h"

namespace cranemux::front {

// A file that has been read, and what was made of it; replaced as a whole at a reload.
struct GraphqlSetup {
  config::GraphqlFile file;
  std::shared_ptr<graphql::Engine> engine;
};
// Throws config::Error: with a line for each fault of the file, or of its schema.
GraphqlSetup set_up_graphql(const std::string& file, bool alone);

class GraphqlFront : public Front {
 public:
  GraphqlFront(core::Core& core, GraphqlSetup setup, metrics::Counters& counters);
  ~GraphqlFront() override;  // subscriptions end in order
  // Throws config::Error where the core's settings do not go with the file.
  static void check(const core::Core& core, const GraphqlSetup& setup);
  // From now on: what has been admitted ends under what it was admitted under. `setup` has been checked.
  void adopt(GraphqlSetup setup);
  const GraphqlSetup& setup() const { return setup_; }

  Handled request(const Incoming& incoming) override;
  Reply answer(core::FinalAnswer&& answer, const std::shared_ptr<void>& context) override;
  Reply malformed(int status) override;
  Reply unavailable(std::chrono::nanoseconds come_back, const http::Message& message) override;
  void abandoned(core::RpcId rpc, const std::shared_ptr<void>&) override { core_.abandoned(rpc); }
  std::string class_of(const http::Message& message) const override;

 private:
  struct Context;
  struct Operations;  // of one request
  Handled take(const Incoming& incoming);
  Reply answer_as(core::FinalAnswer&& answer, const Context& asked,
                  const std::optional<cranemux::Allowance>& store);
  void count_documents();
  Operations admit(const json::Value& request, bool safe_method) const;
  void check_stated(const http::Message& message, const json::Value& request, const Operations& operations);
  double most_units(const core::RpcTerms& terms) const;
  void check_burst(const core::RpcTerms& terms);
  std::shared_ptr<Subscriber> subscriber_of(const http::Message& message, const graphql::Admitted& admitted,
                                            const core::RpcTerms& terms);

  core::Core& core_;
  GraphqlSetup setup_;
  metrics::Counters& counters_;
  graphql::DocumentCounts counted_;  // of the engine's store, as the counters have them
  graphql::Subscribers subscribers_;
  std::vector<std::weak_ptr<Subscription>> open_;
};

}  // namespace cranemux::front
