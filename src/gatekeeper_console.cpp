// The console's commands on a running gatekeeper.
#include <set>
#include <sstream>

#include "gatekeeper.h"

namespace cranemux {

void Gatekeeper::print_pools(std::ostream& out) const {
  for (const auto& [name, member] : pools_) {
    auto& pool = *member.pool;
    out << name
        << (pool.drained()  ? " drained"
            : pool.usable() ? " serving"
                            : " without nodes")
        << " nodes " << pool.nodes().usable() << '/' << pool.nodes().size() << " rpcs "
        << pool.core().in_flight();
    for (const auto resource : {pool::Resource::channels, pool::Resource::rpcs, pool::Resource::bytes}) {
      const auto& part = pool.admission().part(resource);
      out << ' ' << pool::name_of(resource) << ' ' << pool.admission().used(resource) << " of "
          << part.guaranteed << '/' << part.most;
    }
    out << " connections " << pool.connections().used() << " of " << pool.connections().part().guaranteed
        << '/' << pool.connections().part().most << '\n';
  }
  for (const auto& member : leaving_) {
    out << member.pool->name() << " removed, rpcs " << member.pool->core().in_flight() << '\n';
  }
}

void Gatekeeper::print_routes(std::ostream& out) const {
  for (const auto& listener : listeners_) {
    if (!listener.routed) continue;
    for (const auto& route : listener.routed->routing().table->routes()) {
      out << listener.config.name << ' ' << routing::describe(route) << '\n';
    }
  }
}

void Gatekeeper::print_nodes(std::ostream& out, const std::string& only) const {
  for (const auto& [pool, member] : pools_) {
    if (!only.empty() && pool != only) continue;
    auto held = member.pool->core().attempts_by_worker();
    for (const auto& [node, n] : member.pool->attempts().nodes()) {
      if (services_) out << pool << ' ';
      out << node << ' ' << n.state << " busy " << n.busy << " idle " << n.idle << " sent " << n.sent
          << " held " << held[node] << '\n';
    }
  }
}

void Gatekeeper::print_quotas(std::ostream& out, const std::string& only) const {
  for (const auto& [pool, member] : pools_) {
    if (!only.empty() && pool != only) continue;
    const auto& core = member.pool->core();
    for (const auto& [customer, use] : core.use()) {
      const auto* plan = core.plan(use.plan);
      if (services_) out << pool << ' ';
      out << customer << ' ' << use.plan << " units " << use.units << " rpcs " << use.rpcs << " unavailable "
          << use.unavailable << " rate " << (plan ? plan->rate : 0) << " burst " << (plan ? plan->burst : 0)
          << '\n';
    }
  }
}

// `*` is every pool. One that serves several pools is drained in each by `*`, in one by its name.
std::string Gatekeeper::drain_command(const std::string& pool, const std::string& node, bool drained) {
  std::ostringstream out;
  if (pool != "*" && !pools_.contains(pool)) return "there is no pool " + pool + '\n';
  for (auto& [name, member] : pools_) {
    if (pool != "*" && name != pool) continue;
    const bool changed = node.empty() ? member.pool->drain(drained) : member.pool->drain_node(node, drained);
    const std::string what = name + (node.empty() ? "" : " " + node);
    if (changed) {
      out << what << (drained ? ": drained, nothing new goes there past 1 s\n" : ": serves again\n");
      logger_.log(metrics::Level::info, metrics::Field{"pool", name}, metrics::Field{"node", node}, what,
                  drained ? " drained by the operator" : " serves again");
    } else if (pool != "*" || node.empty()) {
      out << what << ": nothing to change\n";
    }
  }
  return out.str().empty() ? "no pool has a node " + node + " to change\n" : out.str();
}

std::string Gatekeeper::command(const std::string& line) {
  std::istringstream words(line);
  std::string name, argument, second;
  words >> name >> argument >> second;
  std::ostringstream out;
  if (name == "counters") {
    const auto at = pools_.find(argument);
    if (!argument.empty() && at == pools_.end()) return "there is no pool " + argument + '\n';
    out << (at == pools_.end() ? counters() : counters_of(at->second));
    if (argument.empty()) out << figures();
  } else if (name == "check" || name == "vars" || name == "drain-on" || name == "drain-off") {
    return management::answer(line, *this);  // as where operators call
  } else if (name == "pools") {
    print_pools(out);
  } else if (name == "routes") {
    print_routes(out);
  } else if (name == "nodes") {
    print_nodes(out, argument);
  } else if (name == "quotas") {
    print_quotas(out, argument);
  } else if (name == "members") {
    // Pools of one quota group share their books: each group is told of once.
    std::set<std::string> told;
    for (const auto& [pool, member] : pools_) {
      const auto& group = member.pool->config().quota_group;
      if (told.insert(group).second) out << member.pool->core().guard_report();
    }
    if (out.str().empty()) return "quotas are not guarded here: see docs/quota-bound.md\n";
  } else if (name == "log") {
    const auto level = metrics::level_named(argument);
    if (level) logger_.set_level(*level);
    if (!level && !argument.empty()) return "unknown level " + argument + '\n';
    out << "log level " << metrics::kLevelNames[static_cast<std::size_t>(logger_.level())] << '\n';
  } else if ((name == "drain" && !argument.empty()) || name == "undrain") {
    return drain_command(argument, second, name == "drain");
  } else if (name == "stop") {
    drain();
    out << "stopping: answers what it has taken, then ends\n";
  } else if (name == "drain") {
    return "drain what? drain POOL|* [NODE]; drain-on empties the gatekeeper, stop ends it\n";
  } else if (name == "help") {
    out << "counters [POOL] | pools | routes | nodes [POOL] | quotas [POOL] | members | log "
           "[debug|info|warning|error] "
           "| "
           "drain POOL|* [NODE] | undrain POOL|* [NODE] | check | vars | drain-on | drain-off | stop | help "
           "| "
           "quit\n";
  } else {
    return "unknown command " + name + ": try help\n";
  }
  return out.str();
}

}  // namespace cranemux
