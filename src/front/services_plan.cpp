#include "front/services_plan.h"

#include <malloc.h>

namespace cranemux::front {
namespace {

// What an operation truly cost is told by its answer: the pools that serve it settle the difference.
void settle_costs(const config::ListenerConfig& listener, config::Services& services) {
  for (const auto& route : listener.routes) {
    for (const auto& share : route.shares) services.pools.at(share.pool).settings.settles = true;
    if (!route.overflow.empty()) services.pools.at(route.overflow).settings.settles = true;
  }
}

}  // namespace

ServicesPlan plan_services(const std::string& file, const config::Environment& environment) {
  ServicesPlan plan{config::load_services(file, environment), {}};
  for (const auto& listener : plan.services.listeners) {
    ListenerPlan made;
    made.table = std::make_shared<routing::RouteTable>(listener.routes);
    if (listener.front == config::FrontKind::graphql) {
      made.graphql = set_up_graphql(listener.graphql_file, false);
      settle_costs(listener, plan.services);
    }
    plan.listeners.push_back(std::move(made));
  }
  // The tree that the file was read into is many times its size, and gone: back to the system with it.
  ::malloc_trim(0);
  return plan;
}

}  // namespace cranemux::front
