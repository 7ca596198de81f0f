// What goes on to a GraphQL server, and what its answer is worth.
#pragma once

#include "attempt/attempts.h"
#include "graphql/engine.h"

namespace cranemux::front {

// The media types of GraphQL over HTTP: the newer one, and the one before it.
constexpr std::string_view kEventType = "text/event-stream";
constexpr std::string_view kNewType = "application/graphql-response+json", kOldType = "application/json";

// `cost`: an object of JSON, where it is told.
std::string error_body(const std::string& code, const std::string& what, std::chrono::nanoseconds retry = {},
                       const std::string& cost = {});

// What answers tell of costs: the units asked for, what it came to (none: nothing ran), and the customer's
// store after it, where it is known.
json::Value cost_value(double requested, std::optional<double> actual,
                       const std::optional<cranemux::Allowance>& store);

// A look at the customer's store. None: costs are not told.
using Store = std::function<std::optional<cranemux::Allowance>()>;

class GraphqlExchange : public attempt::Exchange {
 public:
  // `store`: where it is set, `extensions.cost` is told to the client.
  GraphqlExchange(std::string path, std::string body, std::vector<graphql::Admitted> admitted, bool batch,
                  Store store);
  std::string message(std::chrono::milliseconds patience) const override;
  // A well-formed answer is one, even if it tells of errors: the server has seen the operation. One that does
  // not fit what was asked is spoilt: a failed attempt that may have run.
  core::AttemptResult read(const http::Message& answer) const override;
  std::optional<core::AttemptResult> own_answer() const override;  // of introspection alone
  bool may_stream() const override;                                // a subscription
  bool streams(const http::Message& head) const override;

 private:
  bool read_one(const json::Value& answer, const graphql::Admitted& asked, double& cost) const;
  std::string body_with_cost(json::Value&& answer, const std::vector<double>& costs) const;

  const std::string path_, body_;
  const std::vector<graphql::Admitted> admitted_;
  const bool batch_, booking_;
  const Store store_;
};

// What goes on to a server: only what was priced. Another member might make it run something else.
std::string forwarded(const json::Value& request, const std::vector<graphql::Admitted>& admitted);

}  // namespace cranemux::front
