#include "routing/route_table.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <tuple>

#include "routing/normalise.h"

namespace cranemux::routing {
namespace {

constexpr std::size_t kMostParts = 128;  // labels or segments of a route; requests may have more

bool contains(const std::vector<std::string>& names, std::string_view name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

int rank_of(const Route& route) { return (route.methods.empty() ? 2 : 0) + (route.classes.empty() ? 1 : 0); }

// The parts of a path after its first `/`. `/` has none.
template <typename Visit>
void each_segment(std::string_view path, Visit visit) {
  while (path.size() > 1) {
    const auto end = std::min(path.find('/', 1), path.size());
    if (!visit(path.substr(1, end - 1))) return;
    path.remove_prefix(end);
  }
}

// The labels of a host from its last to its first. A literal address is one label.
template <typename Visit>
void each_label(std::string_view host, Visit visit) {
  while (!host.empty()) {
    const auto dot = host.starts_with('[') ? std::string_view::npos : host.rfind('.');
    const auto begin = dot == std::string_view::npos ? 0 : dot + 1;
    if (!visit(host.substr(begin))) return;
    host = host.substr(0, begin > 0 ? begin - 1 : 0);
  }
}

class Checker {
 public:
  Checker(std::vector<Route>& routes, const std::vector<KnownClass>& classes)
      : routes_(routes), classes_(classes) {}

  std::vector<Problem> run() {
    for (auto& route : routes_) {
      form(route);
      shares(route);
    }
    if (problems_.empty()) overlaps();
    return std::move(problems_);
  }

 private:
  void say(const Route& route, std::string text, int other = 0) {
    problems_.push_back({route.line, other, "route " + route.name + ": " + std::move(text)});
  }

  void form(Route& route) {
    const auto [first, fresh] = lines_.try_emplace(route.name, route.line);
    if (!fresh)
      say(route, "line " + std::to_string(first->second) + " has a route of that name", first->second);
    host(route);
    if (normalise_path(route.path, route.path) != Fault::none) {
      say(route, "path: " + route.path + " is no path: it starts with / and holds no escape that hides one");
    } else if (route.path.size() > 1 && route.path.ends_with('/')) {
      route.path.pop_back();  // a prefix ends on a boundary anyway
    }
    if (static_cast<std::size_t>(std::count(route.path.begin(), route.path.end(), '/')) > kMostParts) {
      say(route, "path: has more than " + std::to_string(kMostParts) + " segments");
    }
    for (const auto& klass : route.classes) {
      const auto known =
          std::any_of(classes_.begin(), classes_.end(), [&](const auto& c) { return c.name == klass; });
      if (!known) say(route, "classes: there is no class " + klass);
    }
  }

  void host(Route& route) {
    if (route.host.empty() || route.host == "*") {
      route.host.clear();
      return;
    }
    const bool wild = route.host.starts_with("*.");
    std::string name;
    const auto text = std::string_view(route.host).substr(wild ? 2 : 0);
    const bool port = !text.starts_with('[') && text.find(':') != std::string_view::npos;
    if (port || normalise_host(text, name) != Fault::none || (wild && name.starts_with('['))) {
      return say(route, "host: " + route.host + " is neither a host without a port nor *.suffix");
    }
    route.host = (wild ? "*." : "") + name;
  }

  void shares(const Route& route) {
    if (route.shares.empty()) return say(route, "names no pool");
    double sum = 0;
    std::set<std::string> pools;
    for (const auto& share : route.shares) {
      if (!(share.weight >= 0 && share.weight <= 1e9))
        say(route, "split: the share of " + share.pool + " is no weight");
      if (!pools.insert(share.pool).second) say(route, "split: " + share.pool + " stands there twice");
      sum += share.weight;
    }
    if (!(sum > 0)) say(route, "split: no pool has a share above 0");
    if (!route.overflow.empty() && pools.contains(route.overflow)) {
      say(route, "overflow: " + route.overflow + " is a pool of the route itself");
    }
  }

  // Routes of one host and path share out what can come there; each needs a part that is its own.
  void overlaps() {
    std::map<std::pair<std::string, std::string>, std::vector<const Route*>> groups;
    for (const auto& route : routes_) groups[{route.host, route.path}].push_back(&route);
    for (auto& [key, group] : groups) {
      std::stable_sort(group.begin(), group.end(),
                       [](auto* a, auto* b) { return rank_of(*a) < rank_of(*b); });
      std::map<std::pair<std::string_view, std::string_view>, const Route*> taken;
      for (const auto* route : group) share_out(*route, taken);
    }
  }

  void share_out(const Route& route,
                 std::map<std::pair<std::string_view, std::string_view>, const Route*>& taken) {
    const Route* before = nullptr;
    bool wins = false, ties = false;
    for (const auto& klass : classes_) {
      if (!route.classes.empty() && !contains(route.classes, klass.name)) continue;
      for (const auto& method : klass.methods) {
        if (!route.methods.empty() && !contains(route.methods, method)) continue;
        const auto [at, fresh] = taken.try_emplace({klass.name, method}, &route);
        wins = wins || fresh;
        if (fresh) continue;
        if (!before) before = at->second;
        if (ties || rank_of(*at->second) != rank_of(route)) continue;
        ties = true;
        say(route,
            "ties with route " + at->second->name + " at line " + std::to_string(at->second->line) + " for " +
                method + " of class " + klass.name,
            at->second->line);
      }
    }
    if (wins || ties) return;
    if (before) {
      say(route,
          "can never match: route " + before->name + " at line " + std::to_string(before->line) +
              " takes all that would come to it",
          before->line);
    } else {
      say(route, "can never match: no class comes by its methods");
    }
  }

  std::vector<Route>& routes_;
  const std::vector<KnownClass>& classes_;
  std::map<std::string, int> lines_;
  std::vector<Problem> problems_;
};

}  // namespace

std::string describe(const Route& route) {
  std::string out = route.name + ": host " + (route.host.empty() ? "*" : route.host) + " path " + route.path;
  const auto list = [&](const char* what, const std::vector<std::string>& names) {
    for (std::size_t i = 0; i < names.size(); ++i) out += (i == 0 ? std::string(what) : ",") + names[i];
  };
  list(" methods ", route.methods);
  list(" classes ", route.classes);
  out += " to";
  for (const auto& share : route.shares) {
    out += ' ' + share.pool;
    if (route.shares.size() > 1) out += '=' + std::to_string(share.weight).substr(0, 6);
  }
  if (!route.overflow.empty()) out += " overflow " + route.overflow;
  return out + " (line " + std::to_string(route.line) + ')';
}

std::string_view name_of(Miss miss) {
  constexpr std::string_view kNames[kMisses] = {"none", "host", "path", "method", "class"};
  return kNames[static_cast<std::size_t>(miss)];
}

std::vector<Problem> RouteTable::check(std::vector<Route>& routes, const std::vector<KnownClass>& classes) {
  return Checker(routes, classes).run();
}

std::size_t RouteTable::EdgeHash::operator()(const Edge& edge) const {
  return XXH3_64bits_withSeed(edge.part.data(), edge.part.size(), edge.from);
}

RouteTable::RouteTable(std::vector<Route> routes) : routes_(std::move(routes)), nodes_(1) {
  hosts_ = static_cast<NodeId>(nodes_.size());
  nodes_.emplace_back();
  for (std::uint32_t i = 0; i < routes_.size(); ++i) insert(i);
}

RouteTable::NodeId RouteTable::step(NodeId from, std::string_view part) const {
  const auto at = edges_.find({from, part});
  return at == edges_.end() ? 0 : at->second;
}

RouteTable::NodeId RouteTable::grow(NodeId from, std::string_view part) {
  const auto [at, fresh] = edges_.try_emplace({from, part}, static_cast<NodeId>(nodes_.size()));
  if (fresh) nodes_.emplace_back();
  return at->second;
}

RouteTable::NodeId RouteTable::host_root(const std::string& host) {
  const auto fresh_root = [this] {
    nodes_.emplace_back();
    return static_cast<NodeId>(nodes_.size() - 1);
  };
  if (host.empty()) return any_host_ ? any_host_ : any_host_ = fresh_root();
  const bool wild = host.starts_with("*.");
  NodeId node = hosts_;
  each_label(std::string_view(host).substr(wild ? 2 : 0), [&](std::string_view label) {
    node = grow(node, label);
    return true;
  });
  const auto root_of = [&]() -> NodeId& { return wild ? nodes_[node].suffix : nodes_[node].exact; };
  if (root_of() == 0) {
    const auto root = fresh_root();
    root_of() = root;
  }
  return root_of();
}

void RouteTable::insert(std::uint32_t index) {
  const auto& route = routes_[index];
  auto node = host_root(route.host);
  each_segment(route.path, [&](std::string_view segment) {
    node = grow(node, segment);
    return true;
  });
  auto& here = nodes_[node].routes;
  const auto worse = [&](std::uint32_t other) { return rank_of(routes_[other]) > rank_of(route); };
  here.insert(std::find_if(here.begin(), here.end(), worse), index);
}

template <typename Visit>
void RouteTable::each_host(std::string_view host, Visit visit) const {
  std::array<NodeId, kMostParts> walked;  // hosts have no more labels (RFC 1035)
  std::size_t depth = 0;
  NodeId node = hosts_;
  bool whole = !host.empty();
  each_label(host, [&](std::string_view label) {
    node = depth < walked.size() ? step(node, label) : 0;
    whole = whole && node != 0;
    if (node) walked[depth++] = node;
    return node != 0;
  });
  if (whole) {
    if (const auto root = nodes_[walked[depth - 1]].exact; root && visit(root)) return;
    --depth;  // `*.suffix` wants a label before it
  }
  while (depth > 0) {
    if (const auto root = nodes_[walked[--depth]].suffix; root && visit(root)) return;
  }
  if (any_host_) visit(any_host_);
}

template <typename Visit>
void RouteTable::each_path(NodeId root, std::string_view path, Visit visit) const {
  std::array<NodeId, kMostParts + 1> walked;  // routes have no more segments
  std::size_t depth = 0;
  walked[depth++] = root;
  NodeId node = root;
  each_segment(path, [&](std::string_view segment) {
    node = depth < walked.size() ? step(node, segment) : 0;
    if (node) walked[depth++] = node;
    return node != 0;
  });
  while (depth > 0) {
    const auto& here = nodes_[walked[--depth]];
    if (!here.routes.empty() && visit(here)) return;
  }
}

template <typename Visit>
void RouteTable::each_candidate(const Query& query, Visit visit) const {
  each_host(query.host, [&](NodeId root) {
    bool over = visit(nullptr, Miss::path);
    each_path(root, query.path, [&](const Node& node) {
      for (const auto index : node.routes) {
        const auto& route = routes_[index];
        auto miss = Miss::none;
        if (!route.methods.empty() && !contains(route.methods, query.method)) {
          miss = Miss::method;
        } else if (!route.classes.empty() && !contains(route.classes, query.klass)) {
          miss = Miss::klass;
        }
        over = visit(&route, miss);
        if (over) return true;
      }
      return false;
    });
    return over;
  });
}

RouteTable::Found RouteTable::find(const Query& query) const {
  Found found{nullptr, Miss::host};
  each_candidate(query, [&](const Route* route, Miss miss) {
    found.miss = std::max(found.miss, miss);
    if (miss == Miss::none) found = {route, Miss::none};
    return miss == Miss::none;
  });
  return found;
}

std::vector<std::string> RouteTable::explain(const Query& query) const {
  std::vector<std::string> lines;
  const auto found = find(query);
  each_candidate(query, [&](const Route* route, Miss miss) {
    if (!route) return false;
    auto line = "route " + route->name + " (line " + std::to_string(route->line) + ", host " +
                (route->host.empty() ? "*" : route->host) + ", path " + route->path + "): ";
    if (miss == Miss::none) line += "takes it";
    if (miss == Miss::method) line += "not for method " + std::string(query.method);
    if (miss == Miss::klass) line += "not for class " + std::string(query.klass);
    lines.push_back(std::move(line));
    return miss == Miss::none;
  });
  if (!found.route) lines.push_back("no route takes it: no " + std::string(name_of(found.miss)) + " matches");
  return lines;
}

}  // namespace cranemux::routing
