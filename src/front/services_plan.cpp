#include "front/services_plan.h"

#include <malloc.h>

namespace cranemux::front {

ServicesPlan plan_services(const std::string& file, const config::Environment& environment) {
  ServicesPlan plan{config::load_services(file, environment), {}};
  for (const auto& listener : plan.services.listeners) {
    ListenerPlan made;
    made.table = std::make_shared<routing::RouteTable>(listener.routes);
    if (listener.front == config::FrontKind::graphql) {
      made.graphql =
          parse_graphql_config(config::read_file(listener.graphql_file, listener.name + ".graphql"), false);
    }
    plan.listeners.push_back(std::move(made));
  }
  // The tree that the file was read into is many times its size, and gone: back to the system with it.
  ::malloc_trim(0);
  return plan;
}

}  // namespace cranemux::front
