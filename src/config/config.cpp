#include "config/config.h"

#include <fstream>
#include <iterator>

namespace cranemux::config {
namespace {

using cranemux::config::Fields;

const json::Value& need(const json::Value& value, const std::string& name, const std::string& path) {
  const auto* found = value.find(name);
  if (!found) throw Error(path + name + ": missing");
  return *found;
}

const std::string& need_text(const json::Value& value, const std::string& name, const std::string& path) {
  const auto* text = need(value, name, path).string();
  if (!text) throw Error(path + name + ": must be a text");
  return *text;
}

double number_or(const json::Value& value, const std::string& name, const std::string& path, double absent) {
  const auto* found = value.find(name);
  if (!found || found->is_null()) return absent;
  if (!found->number()) throw Error(path + name + ": must be a number");
  return found->as_double(absent);
}

// A damaged figure must not reach a cast or a sum that cannot hold it.
double number_within(const json::Value& value, const std::string& name, const std::string& path,
                     double absent, double least, double most) {
  const double number = number_or(value, name, path, absent);
  if (number >= least && number <= most) return number;
  throw Error(path + name + ": out of range");
}

constexpr double kMostExact = 9'007'199'254'740'992;  // 2^53: whole numbers are exact up to here
constexpr double kMostCell = 1e9;
constexpr double kMostWeight = 1e6;
constexpr double kMostUnixMs = 4e12;  // the year 2096

// Nested objects become path=value pairs; lists of plain values are joined by commas, others counted.
void flatten(const json::Value& value, const std::string& path, Fields& out) {
  if (const auto* object = value.object()) {
    for (const auto& [name, member] : *object) flatten(member, path.empty() ? name : path + "." + name, out);
  } else if (const auto* array = value.array()) {
    std::string joined;
    bool plain = true;
    for (std::size_t i = 0; i < array->size(); ++i) {
      const auto& item = (*array)[i];
      if (item.object() || item.array()) {
        plain = false;
        flatten(item, path + "." + std::to_string(i), out);
      } else {
        Fields one;
        flatten(item, "v", one);
        joined += (i > 0 ? "," : "") + one["v"];
      }
    }
    if (!plain) out[path + ".count"] = std::to_string(array->size());
    if (plain && !joined.empty()) out[path] = joined;
  } else if (const auto* text = value.string()) {
    out[path] = *text;
  } else if (const auto* number = value.number()) {
    // Whole numbers may be written with a fraction of zeros, which no reader of whole numbers takes.
    auto digits = number->text;
    if (const auto dot = digits.find('.');
        dot != std::string::npos && digits.find_first_not_of('0', dot + 1) == std::string::npos) {
      digits.resize(dot);
    }
    out[path] = digits;
  } else if (const auto* flag = value.boolean()) {
    out[path] = *flag ? "true" : "false";
  }
}

std::vector<std::string> split(const std::string& text) {
  std::vector<std::string> parts;
  for (std::size_t at = 0; at < text.size();) {
    const auto end = std::min(text.find(',', at), text.size());
    parts.push_back(text.substr(at, end - at));
    at = end + 1;
  }
  return parts;
}

}  // namespace

Address parse_address(std::string_view text, const std::string& key) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) throw Error(key + ": must be address:port");
  Address address{std::string(text.substr(0, colon)), 0};
  try {
    address.port = cranemux::config::parse_number<std::uint16_t>(text.substr(colon + 1), key);
  } catch (const cranemux::config::ParseError&) {
    throw Error(key + ": must be address:port");
  }
  return address;
}

ResolverResult parse_resolver_result(const json::Value& value, const std::string& key) {
  if (!value.object()) throw Error(key + ": must be an object");
  ResolverResult result;
  const auto path = key + ".";
  result.index = static_cast<std::int64_t>(number_within(value, "index", path, 0, 0, kMostExact));
  const auto* snapshot = value.find("snapshot");
  result.snapshot = snapshot && snapshot->boolean() && *snapshot->boolean();
  const auto* entries = need(value, "endpoints", path).array();
  if (!entries) throw Error(path + "endpoints: must be a list");
  for (std::size_t i = 0; i < entries->size(); ++i) {
    const auto& item = (*entries)[i];
    const auto at = path + "endpoints." + std::to_string(i) + ".";
    ListEntry entry;
    entry.name = need_text(item, "name", at);
    entry.state = need_text(item, "status", at);
    if (entry.state != "active" && entry.state != "leaving" && entry.state != "left") {
      throw Error(at + "status: unknown state " + entry.state);
    }
    const auto* address = item.find("address");
    if (address && address->string()) entry.address = parse_address(*address->string(), at + "address");
    if (entry.state != "left" && entry.address.port == 0) throw Error(at + "address: missing");
    if (const auto* zone = item.find("zone"); zone && zone->string()) entry.zone = *zone->string();
    entry.cell = static_cast<int>(number_within(item, "group", at, 0, -kMostCell, kMostCell));
    entry.weight = number_within(item, "weight", at, 1, 0, kMostWeight);
    entry.since = std::chrono::milliseconds(
        static_cast<std::int64_t>(number_within(item, "since_ms", at, 0, 0, kMostUnixMs)));
    result.entries.push_back(std::move(entry));
  }
  return result;
}

std::string read_file(const std::string& path, const std::string& key) {
  std::ifstream in(path, std::ios::binary);
  if (!in) throw Error(key + ": cannot read " + path);
  return {std::istreambuf_iterator<char>(in), {}};
}

Config parse(std::string_view text) {
  json::Value root;
  try {
    root = json::parse(text);
  } catch (const json::Error& error) {
    throw Error(std::string("the configuration is not ") + error.what());
  }
  Config config;
  if (const auto* name = root.find("name"); name && name->string()) config.name = *name->string();
  config.listen = parse_address(need_text(root, "listen", ""), "listen");
  config.discovery = parse_address(need_text(root, "discovery", ""), "discovery");
  if (const auto* at = root.find("peer_listen"); at && at->string()) {
    config.peer_listen = parse_address(*at->string(), "peer_listen");
  }
  if (const auto* at = root.find("management"); at && at->string()) {
    config.management = parse_address(*at->string(), "management");
  }
  if (const auto* peers = root.find("peers"); peers && peers->array()) {
    for (const auto& peer : *peers->array()) {
      if (!peer.string()) throw Error("peers: must hold address:port texts");
      config.peers.push_back(parse_address(*peer.string(), "peers"));
    }
  }
  if (const auto* limits = root.find("limits")) {
    const auto sockets = number_or(*limits, "sockets", "limits.", 1024);
    if (sockets < 32) throw Error("limits.sockets: must be 32 or more");
    config.sockets = static_cast<std::size_t>(sockets);
    const auto memory_mb = number_or(*limits, "memory_mb", "limits.", 192);
    if (memory_mb < 16) throw Error("limits.memory_mb: must be 16 or more");
    config.memory_mb = static_cast<std::size_t>(memory_mb);
  }
  if (const auto* known = root.find("known"); known && !known->is_null()) {
    config.known = parse_resolver_result(*known, "known");
  }
  Fields info;
  flatten(need(root, "settings", ""), "", info);
  try {
    config.settings = cranemux::config::parse_settings(info);
    if (const auto* seed = root.find("seed"); seed && seed->string()) {
      const auto& hex = *seed->string();
      const auto* end = hex.data() + hex.size();
      if (std::from_chars(hex.data(), end, config.settings.seed, 16).ptr != end) {
        throw Error("seed: must be a number in hex");
      }
    }
    using cranemux::config::number_of;
    config.connect_timeout =
        std::chrono::nanoseconds(number_of<std::int64_t>(info, "caps.connect-timeout-ns", 250'000'000));
    config.connection_idle = std::chrono::nanoseconds(config.settings.connection_idle);
  } catch (const cranemux::config::ParseError& error) {
    throw Error(std::string("settings: ") + error.what());
  }
  std::string wrong;
  for (const auto& fault : faults_of(config.settings))
    wrong += (wrong.empty() ? "settings." : "; settings.") + fault;
  if (!wrong.empty()) throw Error(wrong);
  if (config.connect_timeout.count() <= 0) throw Error("settings.caps.connect-timeout-ns: must be above 0");
  config.load_fields = split(cranemux::config::text_of(info, "stats.fields"));
  if (config.settings.peers && !config.peers.empty() &&
      config.peers.size() != static_cast<std::size_t>(config.settings.gateways)) {
    throw Error("peers: must hold one address for each gatekeeper");
  }
  return config;
}

namespace {

Config load_file(const Environment& environment) {
  const auto path = environment("ROUTER_CONFIG");
  if (!path) throw Error("ROUTER_CONFIG: not set");
  const auto text = read_file(*path, "ROUTER_CONFIG");
  auto config = [&] {
    try {
      return parse(text);
    } catch (const Error& error) {
      throw Error(*path + ": " + error.what());
    }
  }();
  if (const auto name = environment("ROUTER_NAME")) config.name = *name;
  if (const auto at = environment("ROUTER_LISTEN")) config.listen = parse_address(*at, "ROUTER_LISTEN");
  if (const auto at = environment("ROUTER_MANAGEMENT")) {
    config.management = parse_address(*at, "ROUTER_MANAGEMENT");
  }
  config.folder = environment("TMPDIR").value_or("");
  if (const auto fd = environment("ROUTER_SOCKET_FD")) {
    try {
      config.socket_fd = cranemux::config::parse_number<int>(*fd, "ROUTER_SOCKET_FD");
    } catch (const cranemux::config::ParseError&) {
      throw Error("ROUTER_SOCKET_FD: must be a number");
    }
    if (*config.socket_fd < 3) throw Error("ROUTER_SOCKET_FD: must be 3 or more");
  }
  return config;
}

}  // namespace

Config load(const Environment& environment) {
  auto config = load_file(environment);
  if (const auto at = environment("ROUTER_DISCOVERY")) {
    config.discovery = parse_address(*at, "ROUTER_DISCOVERY");
  }
  return config;
}

Config reload(const Environment& environment) { return load_file(environment); }

std::vector<std::string> fixed_until_restart(const Config& running, const Config& file) {
  std::vector<std::string> keys;
  const auto check = [&](bool same, const char* key) {
    if (!same) keys.emplace_back(key);
  };
  auto settings = file.settings;
  settings.seed = running.settings.seed;
  check(running.name == file.name, "name");
  check(running.listen == file.listen, "listen");
  check(running.management == file.management, "management");
  check(running.peer_listen == file.peer_listen, "peer_listen");
  check(running.peers == file.peers, "peers");
  check(running.sockets == file.sockets, "limits.sockets");
  check(running.memory_mb == file.memory_mb, "limits.memory_mb");
  check(running.settings == settings && running.load_fields == file.load_fields &&
            running.connect_timeout == file.connect_timeout &&
            running.connection_idle == file.connection_idle,
        "settings");
  return keys;
}

}  // namespace cranemux::config
