// The one place where configuration is read, checked and given defaults.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/settings.h"
#include "json/json.h"

namespace cranemux::config {

struct Error : std::runtime_error {  // what() names the faulty key
  using std::runtime_error::runtime_error;
};

struct Address {
  std::string host;
  std::uint16_t port = 0;
  bool operator==(const Address&) const = default;
};

// One worker in discovery's form.
struct ListEntry {
  std::string name, state;
  Address address;
  std::string zone;
  int cell = 0;
  double weight = 1;
  std::chrono::milliseconds since{};  // Unix time; 0: long ago
  bool operator==(const ListEntry&) const = default;
};
struct ResolverResult {
  std::int64_t index = 0;
  bool snapshot = false;
  std::vector<ListEntry> entries;
};

struct Config {
  std::string name;
  Address listen, discovery;
  std::optional<Address> management;  // where operators call
  std::string folder;                 // that two lives of one gatekeeper share; empty: none
  std::optional<int> socket_fd;       // of the inherited listening socket, where there is one
  std::optional<Address> peer_listen;
  std::vector<Address> peers;
  std::size_t sockets = 1024, memory_mb = 192;
  ResolverResult known;
  cranemux::Settings settings;
  std::vector<std::string> load_fields;
  std::chrono::nanoseconds connect_timeout{}, connection_idle{};
};

Address parse_address(std::string_view text, const std::string& key);
ResolverResult parse_resolver_result(const json::Value& value, const std::string& key);

using Environment = std::function<std::optional<std::string>(const char*)>;
// ROUTER_CONFIG names the file; the other variables win over what it holds.
Config load(const Environment& environment);
// The same at a reload: there the file is newer than the environment, so its `discovery` counts.
Config reload(const Environment& environment);
// The keys that differ and that only a restart can change.
std::vector<std::string> fixed_until_restart(const Config& running, const Config& file);
Config parse(std::string_view text);
std::string read_file(const std::string& path, const std::string& key);

}  // namespace cranemux::config
