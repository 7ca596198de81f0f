// Several services in one process, as a file of ours under deploy/ tells them: listeners, pools, routes,
// budgets.
#pragma once

#include <map>

#include "config/config.h"
#include "pool/admission.h"
#include "routing/route_table.h"

namespace cranemux::config {

struct PoolConfig {
  std::string name;
  int line = 0;
  std::string quota_group;           // pools that name the same one share their customers' quotas
  std::optional<Address> discovery;  // else the nodes are those listed
  ResolverResult nodes;
  cranemux::Settings settings;
  std::vector<std::string> load_fields;
  std::chrono::nanoseconds connect_timeout{}, connection_idle{};
  pool::Admission::Parts admission;  // channels, RPCs, bytes
  pool::Part connections;            // to nodes
};
// True if the module of a pool can stay as it is; what else differs is altered in place.
bool same_module(const PoolConfig& a, const PoolConfig& b);

enum class FrontKind { platform, graphql };
struct ListenerConfig {
  std::string name;
  Address listen;
  FrontKind front = FrontKind::platform;
  std::string graphql_file;                             // of costs, by path
  std::vector<routing::Route> routes;                   // those that it serves
  bool operator==(const ListenerConfig& other) const {  // what a reload can't change
    return name == other.name && listen == other.listen && front == other.front &&
           graphql_file == other.graphql_file;
  }
};

struct Services {
  std::string name;
  std::size_t sockets = 1024, memory_mb = 192;
  std::optional<Address> management;  // where operators call
  std::optional<Address> peer_listen;
  std::vector<Address> peers;
  double peer_messages_per_s = 0;
  std::vector<ListenerConfig> listeners;
  std::map<std::string, PoolConfig> pools;
  std::vector<routing::KnownClass> classes;
  bool operator==(const Services&) const = delete;
};

// What the process has to share out.
struct Totals {
  std::size_t channels, connections, bytes;
};
Totals totals_of(std::size_t sockets, std::size_t memory_mb);

// Throws Error with a line for each fault. `base`: the platform's configuration, where there is one; its
// settings, limits and peers stand where the file says nothing.
Services parse_services(const std::string& text, const std::string& file, const std::optional<Config>& base);
Services load_services(const std::string& file, const Environment& environment);

}  // namespace cranemux::config
