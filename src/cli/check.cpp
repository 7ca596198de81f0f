// What a configuration says, and which route would take a request.
#include <iostream>

#include "cli/commands.h"
#include "front/services_plan.h"
#include "routing/normalise.h"

namespace cranemux::cli {
namespace {

int check_services(const std::string& file) {
  const auto plan = front::plan_services(file, environment);
  const auto& services = plan.services;
  for (const auto& listener : services.listeners) {
    std::cout << "listener " << listener.name << " on " << listener.listen.host << ':' << listener.listen.port
              << (listener.front == config::FrontKind::graphql ? " graphql" : " platform") << '\n';
    for (const auto& route : listener.routes) std::cout << "  route " << routing::describe(route) << '\n';
  }
  for (const auto& [name, pool] : services.pools) {
    std::cout << "pool " << name << ": "
              << (pool.discovery ? "nodes from discovery"
                                 : std::to_string(pool.nodes.entries.size()) + " nodes")
              << ", quotas of " << pool.quota_group;
    for (const auto resource : {pool::Resource::channels, pool::Resource::rpcs, pool::Resource::bytes}) {
      const auto& part = pool.admission[static_cast<std::size_t>(resource)];
      std::cout << ", " << pool::name_of(resource) << ' ' << part.guaranteed << " to " << part.most;
    }
    std::cout << ", connections " << pool.connections.guaranteed << " to " << pool.connections.most << '\n';
  }
  std::cout << "good: " << services.name << ", " << services.pools.size() << " pools\n";
  return 0;
}

}  // namespace

int check_config(const CheckCommand& command) {
  if (!command.services.empty()) return check_services(command.services);
  if (!command.graphql.empty()) front::set_up_graphql(command.graphql, true);
  const auto config = config::load(environment);
  std::cout << "good: " << config.name << " of " << config.settings.gateways << ", "
            << config.settings.classes.size() << " classes, " << config.settings.plans.size() << " plans, "
            << config.known.entries.size() << " nodes known\n";
  return 0;
}

// Which route and pool would take a request, and why. 0: one takes it, 1: none does.
int explain_route(const RouteCommand& asked) {
  const auto services = config::load_services(asked.file, environment);
  const auto where = routing::normalise(asked.path, {asked.host});
  if (where.fault != routing::Fault::none) {
    std::cout << "400: " << routing::name_of(where.fault) << '\n';
    return 1;
  }
  int code = 1;
  for (const auto& listener : services.listeners) {
    if (!asked.listener.empty() && asked.listener != listener.name) continue;
    const routing::RouteTable table(listener.routes);
    const routing::Query query{where.host, where.path, asked.method, asked.klass};
    std::cout << "listener " << listener.name << ": host " << where.host << " path " << where.path << '\n';
    for (const auto& line : table.explain(query)) std::cout << "  " << line << '\n';
    const auto found = table.find(query);
    if (!found.route) continue;
    const auto share = routing::choose_share(asked.customer, found.route->shares);
    std::cout << "  pool " << found.route->shares[share].pool;
    if (found.route->shares.size() > 1) std::cout << " (by its share, for customer " << asked.customer << ')';
    if (!found.route->overflow.empty()) std::cout << ", overflow " << found.route->overflow;
    std::cout << '\n';
    code = 0;
  }
  return code;
}

}  // namespace cranemux::cli
