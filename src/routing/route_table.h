// The routes of a process, compiled. A request goes to the first route that matches, in this order, whatever
// their order in the file:
//   1. the host: named exactly, then by the longest `*.suffix` (one label or more before it), then any;
//   2. the path: the longest prefix, on segment boundaries;
//   3. a route that names methods before one that does not; 4. the same for classes.
// A less specific route serves what a more specific host or path matches in part only. The cost of a look-up
// grows with the labels and segments of the request that lie on some route, not with the number of routes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "routing/split.h"

namespace cranemux::routing {

struct Route {
  std::string name;
  std::string host;                  // `quote.example.org`, `*.example.org`, or empty for any
  std::string path = "/";            // a prefix
  std::vector<std::string> methods;  // none: any
  std::vector<std::string> classes;  // none: any
  std::vector<Share> shares;         // one pool, or a split over several
  std::string overflow;              // for safe classes, while no node of the pool can be used; empty: none
  int line = 0;                      // in its file, for messages
};

std::string describe(const Route& route);  // in one line

struct Query {  // normalised
  std::string_view host, path, method, klass;
};

// Which classes come by which methods: what no request can be is no use to name.
struct KnownClass {
  std::string name;
  std::vector<std::string> methods;
};

enum class Miss { none, host, path, method, klass };
constexpr std::size_t kMisses = 5;
std::string_view name_of(Miss miss);

struct Problem {
  int line = 0, other = 0;  // `other`: the route that it clashes with, 0 if there is none
  std::string text;
};

class RouteTable {
 public:
  // All that is wrong with the routes at once; empty: they may be compiled. Names are normalised in place.
  static std::vector<Problem> check(std::vector<Route>& routes, const std::vector<KnownClass>& classes);

  explicit RouteTable(std::vector<Route> routes);  // checked
  RouteTable(const RouteTable&) = delete;          // its edges are views of its own routes
  RouteTable& operator=(const RouteTable&) = delete;

  struct Found {
    const Route* route = nullptr;  // valid as long as the table
    Miss miss = Miss::none;        // the last thing asked that nothing matched
  };
  Found find(const Query& query) const;
  // What `find` went through, a line each.
  std::vector<std::string> explain(const Query& query) const;
  const std::vector<Route>& routes() const { return routes_; }

 private:
  using NodeId = std::uint32_t;
  struct Edge {
    NodeId from;
    std::string_view part;
    bool operator==(const Edge&) const = default;
  };
  struct EdgeHash {
    std::size_t operator()(const Edge& edge) const;
  };
  struct Node {
    NodeId exact = 0, suffix = 0;       // a host's: the roots of its paths, 0 if there are none
    std::vector<std::uint32_t> routes;  // a path's: those that end here, in order of preference
  };

  template <typename Visit>
  void each_candidate(const Query& query, Visit visit) const;  // best first, with what keeps it from matching
  NodeId step(NodeId from, std::string_view part) const;
  NodeId grow(NodeId from, std::string_view part);
  NodeId host_root(const std::string& host);
  void insert(std::uint32_t index);
  template <typename Visit>
  void each_host(std::string_view host, Visit visit) const;  // roots of paths, best first; true ends
  template <typename Visit>
  void each_path(NodeId root, std::string_view path, Visit visit) const;  // nodes with routes, longest first

  std::vector<Route> routes_;
  std::vector<Node> nodes_;
  std::unordered_map<Edge, NodeId, EdgeHash> edges_;  // the parts are views of routes_
  NodeId hosts_ = 0, any_host_ = 0;
};

}  // namespace cranemux::routing
