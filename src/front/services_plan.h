// A file of services, read, checked and compiled: all that can be made before it is applied, by any thread.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/services.h"
#include "front/graphql/graphql.h"

namespace cranemux::front {

struct ListenerPlan {
  std::shared_ptr<const routing::RouteTable> table;
  std::optional<GraphqlSetup> graphql;  // none: the platform's protocol
};
struct ServicesPlan {
  config::Services services;
  std::vector<ListenerPlan> listeners;  // in the services' order
};

// Throws config::Error with a line for each fault.
ServicesPlan plan_services(const std::string& file, const config::Environment& environment);

}  // namespace cranemux::front
