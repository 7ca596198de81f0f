#include "config/services.h"

#include <algorithm>
#include <filesystem>
#include <set>

#include "config/yaml_reader.h"
#include "ledger/leader_election.h"
#include "routing/normalise.h"

namespace cranemux::config {
namespace {

using std::chrono::nanoseconds;

constexpr double kMostFigure = 1e9;
constexpr std::size_t kMostPools = 4096, kMostRoutes = 200'000;

class Reader {
 public:
  Reader(const std::string& text, const std::optional<Config>& base) : yaml_(text), base_(base) {}

  Services read(const std::string& file) {
    const auto& root = yaml_.root();
    if (yaml_.map(root, "",
                  {"name", "seed", "management", "limits", "tier", "classes", "plans", "listeners", "pools",
                   "routes", "answers"})) {
      common(root);
      limits(root["limits"]);
      tier(root["tier"]);
      classes(root["classes"], settings_.classes, "classes");
      plans(root["plans"], settings_.plans, "plans");
      if (settings_.classes.empty()) yaml_.fault(root, "classes", "missing: name the classes of requests");
      if (settings_.plans.empty()) yaml_.fault(root, "plans", "missing: name the customers' plans");
      listeners(root["listeners"]);
      pools(root["pools"]);
      groups();
      routes(root["routes"]);
    }
    if (!yaml_.faults().empty()) throw Error(describe(file, yaml_.faults()));
    return std::move(out_);
  }

 private:
  void common(const YAML::Node& root) {
    if (base_) settings_ = base_->settings;
    out_.name = yaml_.text(root, "name", "", base_ ? base_->name : "cranemux");
    out_.sockets = base_ ? base_->sockets : 1024;
    out_.memory_mb = base_ ? base_->memory_mb : 192;
    if (!base_) {
      settings_.cancel = true;
      settings_.max_attempts = 4;
      settings_.load_in_answers = true;
      settings_.drain_grace = nanoseconds(std::chrono::seconds(1)).count();
    }
    if (base_) out_.management = base_->management;
    if (const auto at = yaml_.text(root, "management", ""); !at.empty()) {
      out_.management = address(root["management"], "management", at);
    }
    const auto seed = yaml_.text(root, "seed", "");
    if (!seed.empty()) settings_.seed = std::hash<std::string>{}(seed);
    load_fields_ = base_ ? base_->load_fields : std::vector<std::string>{"outstanding"};
    connect_timeout_ = base_ ? base_->connect_timeout : nanoseconds(std::chrono::milliseconds(250));
    connection_idle_ = base_ ? base_->connection_idle : nanoseconds(std::chrono::seconds(30));
  }

  void limits(const YAML::Node& node) {
    if (node.IsDefined() && yaml_.map(node, "limits", {"sockets", "memory_mb"})) {
      out_.sockets = count(node, "sockets", "limits.", out_.sockets, 32);
      out_.memory_mb = count(node, "memory_mb", "limits.", out_.memory_mb, 16);
    }
    totals_ = totals_of(out_.sockets, out_.memory_mb);
  }

  std::size_t count(const YAML::Node& in, const char* name, const std::string& path, std::size_t absent,
                    double least) {
    const double value = yaml_.number(in, name, path, static_cast<double>(absent), least, kMostFigure);
    return static_cast<std::size_t>(value);
  }

  void tier(const YAML::Node& node) {
    if (base_) {
      out_.peer_listen = base_->peer_listen;
      out_.peers = base_->peers;
    }
    out_.peer_messages_per_s = settings_.peer_messages_per_s;
    if (!node.IsDefined()) return;
    if (!yaml_.map(node, "tier", {"index", "listen", "peers", "keepers", "messages_per_s", "quotas"})) return;
    out_.peers.clear();
    for (const auto& peer : yaml_.texts(node, "peers", "tier.")) {
      if (const auto at = address(node["peers"], "tier.peers", peer)) out_.peers.push_back(*at);
    }
    if (const auto listen = yaml_.text(node, "listen", "tier."); !listen.empty()) {
      out_.peer_listen = address(node["listen"], "tier.listen", listen);
    }
    settings_.gateways = std::max(1, static_cast<int>(out_.peers.size()));
    settings_.index = static_cast<int>(yaml_.number(node, "index", "tier.", 0, 0, settings_.gateways - 1));
    settings_.peers = out_.peer_listen && settings_.gateways > 1;
    settings_.dedicated_leaders =
        static_cast<int>(yaml_.number(node, "keepers", "tier.", 0, 0, std::max(0, settings_.gateways - 1)));
    out_.peer_messages_per_s = yaml_.number(node, "messages_per_s", "tier.", 40, 1, 1e6);
    settings_.peer_messages_per_s = out_.peer_messages_per_s;
    const auto quotas = yaml_.text(node, "quotas", "tier.", "trusting");
    if (quotas != "trusting" && quotas != "guarded")
      yaml_.fault(node["quotas"], "tier.quotas", "must be trusting or guarded");
    settings_.guarded = quotas == "guarded";
    if (settings_.guarded && settings_.dedicated_leaders > 0)
      yaml_.fault(node["keepers"], "tier.keepers",
                  "goes with trusting quotas only: every member guards its part");
    if (settings_.guarded && settings_.gateways > ledger::kMaxGuardedMembers) {
      yaml_.fault(node["peers"], "tier.peers",
                  "at most " + std::to_string(ledger::kMaxGuardedMembers) +
                      " gatekeepers can guard their quotas together");
    }
  }

  std::optional<Address> address(const YAML::Node& at, const std::string& key, const std::string& text) {
    try {
      return parse_address(text, key);
    } catch (const Error&) {
      yaml_.fault(at, key, text + " is not address:port");
      return std::nullopt;
    }
  }

  void classes(const YAML::Node& node, std::vector<cranemux::ClassSettings>& into, const std::string& key) {
    yaml_.each(node, key, [&](const std::string& name, const YAML::Node& value, const YAML::Node& at) {
      const auto path = key + "." + name + ".";
      if (!yaml_.map(value, key + "." + name, {"aim", "give_up", "worth", "late_share", "repeat"})) return;
      cranemux::ClassSettings c;
      if (const auto old = named(into, name)) c = *old;
      c.name = name;
      c.aim = yaml_.span(value, "aim", path, nanoseconds(c.aim)).count();
      c.give_up = yaml_.span(value, "give_up", path, nanoseconds(c.give_up)).count();
      c.worth = yaml_.number(value, "worth", path, c.worth, 0, kMostFigure);
      c.late_share = yaml_.number(value, "late_share", path, c.late_share, 0, 1);
      if (c.aim <= 0) yaml_.fault(at, path + "aim", "missing: the time within which an answer is wanted");
      if (c.give_up <= 0)
        yaml_.fault(at, path + "give_up", "missing: the time after which a client gives up");
      if (c.aim > 0 && c.give_up > 0 && c.give_up < c.aim)
        yaml_.fault(at, path + "give_up", "must not be under aim");
      const auto repeat =
          yaml_.text(value, "repeat", path, c.repeat == cranemux::Repeat::safe ? "safe" : "never");
      if (repeat != "safe" && repeat != "never")
        yaml_.fault(value["repeat"], path + "repeat", "must be safe or never");
      c.repeat = repeat == "safe" ? cranemux::Repeat::safe : cranemux::Repeat::unsafe;
      put(into, c);
    });
  }

  void plans(const YAML::Node& node, std::vector<cranemux::PlanSettings>& into, const std::string& key) {
    yaml_.each(node, key, [&](const std::string& name, const YAML::Node& value, const YAML::Node& at) {
      const auto path = key + "." + name + ".";
      if (!yaml_.map(value, key + "." + name,
                     {"units_per_s", "burst", "open", "price", "over_worth", "over_cost"})) {
        return;
      }
      cranemux::PlanSettings p;
      if (const auto old = named(into, name)) p = *old;
      p.name = name;
      p.rate = yaml_.number(value, "units_per_s", path, p.rate, 0, kMostFigure);
      p.burst = yaml_.number(value, "burst", path, p.burst, 0, kMostFigure);
      p.open_limit = static_cast<int>(yaml_.number(value, "open", path, p.open_limit, 0, 1e6));
      p.price = yaml_.number(value, "price", path, p.price, 0, kMostFigure);
      p.over_worth = yaml_.number(value, "over_worth", path, p.over_worth, 0, 1);
      p.over_cost = yaml_.number(value, "over_cost", path, p.over_cost, 0, kMostFigure);
      if (p.rate <= 0 && p.open_limit <= 0)
        yaml_.fault(at, path + "units_per_s", "missing: a plan needs it, or open");
      if (p.rate > 0 && p.burst <= 0)
        yaml_.fault(at, path + "burst", "missing: units that may be used at once");
      put(into, p);
    });
  }

  template <typename Item>
  static const Item* named(const std::vector<Item>& items, const std::string& name) {
    const auto at =
        std::find_if(items.begin(), items.end(), [&](const auto& item) { return item.name == name; });
    return at == items.end() ? nullptr : &*at;
  }
  template <typename Item>
  static void put(std::vector<Item>& items, const Item& item) {
    const auto at =
        std::find_if(items.begin(), items.end(), [&](const auto& i) { return i.name == item.name; });
    if (at == items.end()) {
      items.push_back(item);
    } else {
      *at = item;
    }
  }

  void listeners(const YAML::Node& node) {
    std::set<std::string> addresses;
    yaml_.each(node, "listeners",
               [&](const std::string& name, const YAML::Node& value, const YAML::Node& at) {
                 const auto path = "listeners." + name + ".";
                 if (!yaml_.map(value, "listeners." + name, {"listen", "front", "graphql"})) return;
                 ListenerConfig listener;
                 listener.name = name;
                 const auto listen = yaml_.needed(value, "listen", path);
                 if (const auto where =
                         listen.empty() ? std::nullopt : address(value["listen"], path + "listen", listen)) {
                   listener.listen = *where;
                 }
                 if (!listen.empty() && !addresses.insert(listen).second) {
                   yaml_.fault(value["listen"], path + "listen", "another listener has this address");
                 }
                 const auto front = yaml_.text(value, "front", path, "platform");
                 if (front != "platform" && front != "graphql") {
                   yaml_.fault(value["front"], path + "front", "must be platform or graphql");
                 }
                 listener.front = front == "graphql" ? FrontKind::graphql : FrontKind::platform;
                 listener.graphql_file = yaml_.text(value, "graphql", path);
                 if (listener.front == FrontKind::graphql && listener.graphql_file.empty()) {
                   yaml_.fault(at, path + "graphql", "missing: the file with the costs of fields");
                 }
                 out_.listeners.push_back(std::move(listener));
               });
    if (out_.listeners.empty()) yaml_.fault(yaml_.root(), "listeners", "missing: name one at least");
  }

  void pools(const YAML::Node& node) {
    if (node.IsDefined() && node.IsMap() && node.size() > kMostPools) {
      return yaml_.fault(node, "pools", "there are more than " + std::to_string(kMostPools));
    }
    const auto number = node.IsDefined() && node.IsMap() ? node.size() : 1;
    yaml_.each(node, "pools", [&](const std::string& name, const YAML::Node& value, const YAML::Node& at) {
      pool(name, value, at, number);
    });
    if (out_.pools.empty()) yaml_.fault(yaml_.root(), "pools", "missing: name one at least");
    guarantees(node);
  }

  void pool(const std::string& name, const YAML::Node& value, const YAML::Node& at, std::size_t number) {
    const auto key = "pools." + name, path = key + ".";
    if (!yaml_.map(value, key,
                   {"nodes", "discovery", "quota_group", "classes", "plans", "budget", "connect_timeout",
                    "connection_idle", "load_fields"})) {
      return;
    }
    PoolConfig pool;
    pool.name = name;
    pool.line = YamlReader::line_of(at);
    pool.quota_group = yaml_.text(value, "quota_group", path, name);
    pool.settings = settings_;
    classes(value["classes"], pool.settings.classes, path + "classes");
    plans(value["plans"], pool.settings.plans, path + "plans");
    nodes(pool, value, at, path);
    pool.connect_timeout = yaml_.span(value, "connect_timeout", path, connect_timeout_);
    pool.connection_idle = yaml_.span(value, "connection_idle", path, connection_idle_);
    if (pool.connect_timeout.count() <= 0) yaml_.fault(value, path + "connect_timeout", "must be above 0");
    pool.load_fields =
        value["load_fields"].IsDefined() ? yaml_.texts(value, "load_fields", path) : load_fields_;
    budget(pool, value["budget"], path + "budget", number);
    out_.pools.emplace(name, std::move(pool));
  }

  void nodes(PoolConfig& pool, const YAML::Node& value, const YAML::Node& at, const std::string& path) {
    const auto discovery = yaml_.text(value, "discovery", path);
    if (!discovery.empty()) pool.discovery = address(value["discovery"], path + "discovery", discovery);
    const auto listed = yaml_.texts(value, "nodes", path);
    if (!discovery.empty() && !listed.empty()) {
      yaml_.fault(value["nodes"], path + "nodes",
                  "discovery tells the nodes of this pool: give one of the two");
    }
    if (discovery.empty() && listed.empty())
      yaml_.fault(at, path + "nodes", "missing: give nodes, or discovery");
    std::set<std::string> seen;
    pool.nodes.snapshot = true;
    for (const auto& text : listed) {
      const auto where = address(value["nodes"], path + "nodes", text);
      if (!seen.insert(text).second)
        yaml_.fault(value["nodes"], path + "nodes", text + " stands there twice");
      if (!where) continue;
      ListEntry entry;
      entry.name = text;
      entry.state = "active";
      entry.address = *where;
      entry.zone = settings_.zone;
      pool.nodes.entries.push_back(std::move(entry));
    }
  }

  // Where the file says nothing a pool is promised half of an even share, and may borrow all the rest.
  void budget(PoolConfig& pool, const YAML::Node& node, const std::string& key, std::size_t number) {
    const auto usual = [&](std::size_t total) { return pool::Part{total / (2 * number), total}; };
    pool.admission = {usual(totals_.channels), usual(totals_.channels), usual(totals_.bytes)};
    pool.connections = usual(totals_.connections);
    if (!node.IsDefined() || !yaml_.map(node, key, {"channels", "rpcs", "bytes", "connections"})) return;
    const auto part = [&](const char* name, pool::Part& into, bool size) {
      const auto at = node[name];
      const auto path = key + "." + name;
      if (!at.IsDefined() || !yaml_.map(at, path, {"guaranteed", "most"})) return;
      const auto figure = [&](const char* what, std::size_t absent) {
        return size ? yaml_.bytes(at, what, path + ".", absent) : count(at, what, path + ".", absent, 0);
      };
      into.most = figure("most", into.most);
      into.guaranteed = figure("guaranteed", std::min(into.guaranteed, into.most));
      if (into.guaranteed > into.most) yaml_.fault(at, path + ".guaranteed", "is above most");
      if (into.most == 0) yaml_.fault(at, path + ".most", "must be above 0");
    };
    part("channels", pool.admission[0], false);
    part("rpcs", pool.admission[1], false);
    part("bytes", pool.admission[2], true);
    part("connections", pool.connections, false);
  }

  void guarantees(const YAML::Node& at) {
    std::size_t channels = 0, rpcs = 0, bytes = 0, connections = 0;
    for (const auto& [name, pool] : out_.pools) {
      channels += pool.admission[0].guaranteed;
      rpcs += pool.admission[1].guaranteed;
      bytes += pool.admission[2].guaranteed;
      connections += pool.connections.guaranteed;
    }
    const auto check = [&](const char* what, std::size_t sum, std::size_t total) {
      if (sum <= total) return;
      yaml_.fault(at, "pools",
                  "the guaranteed " + std::string(what) + " of all pools are " + std::to_string(sum) +
                      " together, and the limits leave " + std::to_string(total));
    };
    check("channels", channels, totals_.channels);
    check("rpcs", rpcs, totals_.channels);
    check("bytes", bytes, totals_.bytes);
    check("connections", connections, totals_.connections);
  }

  // One ledger serves a group, so its pools must mean the same by a plan.
  void groups() {
    std::map<std::string, const PoolConfig*> first;
    for (const auto& [name, pool] : out_.pools) {
      const auto [at, fresh] = first.try_emplace(pool.quota_group, &pool);
      if (fresh || at->second->settings.plans == pool.settings.plans) continue;
      yaml_.fault(pool.line, "pools." + name + ".plans",
                  "pool " + at->second->name + " at line " + std::to_string(at->second->line) +
                      " has other plans in the same quota_group " + pool.quota_group);
    }
  }

  void known_classes() {
    std::map<std::string, std::set<std::string>> methods;
    bool graphql = false, platform = false;
    for (const auto& listener : out_.listeners) {
      (listener.front == FrontKind::graphql ? graphql : platform) = true;
    }
    for (const auto& [name, pool] : out_.pools) {
      for (const auto& c : pool.settings.classes) {
        auto& known = methods[c.name];
        if (platform) known.insert(c.repeat == cranemux::Repeat::unsafe ? "POST" : "GET");
        if (graphql) known.insert({"GET", "POST"});
      }
    }
    for (const auto& [name, known] : methods) out_.classes.push_back({name, {known.begin(), known.end()}});
  }

  void routes(const YAML::Node& node) {
    if (!node.IsDefined() || !node.IsSequence() || node.size() == 0) {
      return yaml_.fault(node.IsDefined() ? node : yaml_.root(), "routes",
                         "must be a list of one route at least");
    }
    if (node.size() > kMostRoutes) {
      return yaml_.fault(node, "routes", "there are more than " + std::to_string(kMostRoutes));
    }
    known_classes();
    std::size_t at = 0;
    for (const auto& item : node) route(item, "routes." + std::to_string(at++));
    for (auto& listener : out_.listeners) {
      for (const auto& problem : routing::RouteTable::check(listener.routes, out_.classes)) {
        const std::string on = out_.listeners.size() > 1 ? " (on listener " + listener.name + ")" : "";
        yaml_.fault(problem.line, "routes", problem.text + on);
      }
    }
  }

  void route(const YAML::Node& node, const std::string& key) {
    if (!yaml_.map(node, key,
                   {"name", "listener", "host", "path", "methods", "classes", "pool", "split", "overflow"})) {
      return;
    }
    const auto path = key + ".";
    routing::Route route;
    route.line = YamlReader::line_of(node);
    route.host = yaml_.text(node, "host", path);
    route.path = yaml_.text(node, "path", path, "/");
    route.name = yaml_.text(node, "name", path);
    if (route.name.empty()) {
      route.name = (route.host.empty() ? "*" : route.host) + route.path + '@' + std::to_string(route.line);
    }
    route.methods = yaml_.texts(node, "methods", path);
    route.classes = yaml_.texts(node, "classes", path);
    route.overflow = yaml_.text(node, "overflow", path);
    if (!route.overflow.empty()) known_pool(node["overflow"], path + "overflow", route.overflow);
    shares(node, path, route);
    const auto listener = yaml_.text(node, "listener", path);
    bool taken = false;
    for (auto& one : out_.listeners) {
      if (!listener.empty() && one.name != listener) continue;
      one.routes.push_back(route);
      taken = true;
    }
    if (!taken && !out_.listeners.empty()) {
      yaml_.fault(node["listener"], path + "listener", "there is no listener " + listener);
    }
  }

  void known_pool(const YAML::Node& at, const std::string& key, const std::string& name) {
    if (!out_.pools.contains(name)) yaml_.fault(at, key, "there is no pool " + name);
  }

  void shares(const YAML::Node& node, const std::string& path, routing::Route& route) {
    const auto pool = yaml_.text(node, "pool", path);
    if (!pool.empty()) {
      known_pool(node["pool"], path + "pool", pool);
      route.shares.push_back({pool, 1});
    }
    const auto split = node["split"];
    if (pool.empty() != split.IsDefined()) return yaml_.fault(node, path + "pool", "give pool, or split");
    yaml_.each(split, path + "split", [&](const std::string& name, const YAML::Node&, const YAML::Node& at) {
      known_pool(at, path + "split", name);
      route.shares.push_back({name, yaml_.number(split, name.c_str(), path + "split.", 0, 0, kMostFigure)});
    });
  }

  YamlReader yaml_;
  const std::optional<Config>& base_;
  Services out_;
  cranemux::Settings settings_;
  std::vector<std::string> load_fields_;
  nanoseconds connect_timeout_{}, connection_idle_{};
  Totals totals_{};
};

}  // namespace

bool same_module(const PoolConfig& a, const PoolConfig& b) {
  auto settings = b.settings;
  settings.seed = a.settings.seed;
  return a.quota_group == b.quota_group && a.settings == settings && a.connect_timeout == b.connect_timeout &&
         a.connection_idle == b.connection_idle && a.load_fields == b.load_fields &&
         a.discovery.has_value() == b.discovery.has_value();
}

Totals totals_of(std::size_t sockets, std::size_t memory_mb) {
  return {sockets * 6 / 10, sockets * 3 / 10, memory_mb * 1024 * 1024 / 4};
}

Services parse_services(const std::string& text, const std::string& file, const std::optional<Config>& base) {
  std::optional<Reader> reader;
  try {
    reader.emplace(text, base);
  } catch (const Error& error) {
    throw Error(file + ':' + error.what());
  }
  try {
    return reader->read(file);
  } catch (
      const YAML::Exception& error) {  // what the reader did not expect is a fault of the file all the same
    throw Error(file + ':' + std::to_string(error.mark.line + 1) + ": " + error.msg);
  }
}

Services load_services(const std::string& file, const Environment& environment) {
  std::optional<Config> base;
  if (environment("ROUTER_CONFIG")) base = load(environment);
  auto services = parse_services(read_file(file, "--config"), file, base);
  if (const auto at = environment("ROUTER_MANAGEMENT")) {
    services.management = parse_address(*at, "ROUTER_MANAGEMENT");
  }
  // Further files stand beside this one.
  for (auto& listener : services.listeners) {
    if (listener.graphql_file.empty()) continue;
    listener.graphql_file = (std::filesystem::path(file).parent_path() / listener.graphql_file).string();
  }
  return services;
}

}  // namespace cranemux::config
