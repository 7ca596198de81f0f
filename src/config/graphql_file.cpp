#include "config/graphql_file.h"

#include <filesystem>

#include "config/yaml_reader.h"

namespace cranemux::config {
namespace {

class GraphqlReader {
 public:
  GraphqlReader(const std::string& text, const std::string& file) : yaml_(text), file_(file) {}

  GraphqlFile read(bool alone) {
    const auto root = yaml_.root();
    if (yaml_.map(root, "",
                  {"listen", "path", "servers", "classes", "limits", "object_cost", "leaf_cost", "usual_size",
                   "fields", "schema", "booking_fields", "persisted", "cache", "cost_in_answers",
                   "introspection", "subscriptions"})) {
      if (alone) servers(root);
      out_.path = yaml_.text(root, "path", "", out_.path);
      if (!out_.path.starts_with('/')) yaml_.fault(root["path"], "path", "must start with /");
      classes(root["classes"]);
      limits(root["limits"]);
      costs(root);
      schema(root);
      persisted(root["persisted"]);
      subscriptions(root["subscriptions"]);
      out_.engine.cache_bytes = yaml_.bytes(root, "cache", "", out_.engine.cache_bytes);
      out_.engine.introspection = yaml_.flag(root, "introspection", "", true);
      out_.cost_in_answers = yaml_.flag(root, "cost_in_answers", "", false);
    }
    if (!yaml_.faults().empty()) throw Error(describe(file_, yaml_.faults()));
    return std::move(out_);
  }

 private:
  static constexpr double kMost = 1e9;

  // An address, or a fault.
  Address address(const YAML::Node& at, const std::string& text, const std::string& key) {
    try {
      return parse_address(text, key);
    } catch (const Error&) {
      yaml_.fault(at, key, "must be an address, as in 127.0.0.1:8080");
      return {};
    }
  }

  void servers(const YAML::Node& root) {
    out_.listen = address(root["listen"].IsDefined() ? root["listen"] : root,
                          yaml_.needed(root, "listen", ""), "listen");
    const auto listed = yaml_.texts(root, "servers", "");
    if (listed.empty()) yaml_.fault(root, "servers", "must list addresses");
    for (const auto& text : listed) {
      ListEntry entry;
      entry.name = text;
      entry.state = "active";
      entry.address = address(root["servers"], text, "servers");
      out_.servers.push_back(std::move(entry));
    }
  }

  void classes(const YAML::Node& node) {
    if (!node.IsDefined() || !yaml_.map(node, "classes", {"reading", "booking"})) return;
    out_.reading = yaml_.text(node, "reading", "classes.", out_.reading);
    out_.booking = yaml_.text(node, "booking", "classes.", out_.booking);
  }

  void limits(const YAML::Node& node) {
    auto& l = out_.engine.limits;
    if (!node.IsDefined() ||
        !yaml_.map(node, "limits",
                   {"bytes", "depth", "tokens", "batch", "fields", "aliases", "directives", "fragments"})) {
      return;
    }
    const auto count = [&](const char* name, std::size_t& into, double most) {
      into =
          static_cast<std::size_t>(yaml_.number(node, name, "limits.", static_cast<double>(into), 1, most));
    };
    count("bytes", l.bytes, 64 * 1024);  // what a body may hold
    count("depth", l.depth, 64);
    count("tokens", l.tokens, 100'000);
    count("batch", l.batch, 1000);
    count("fields", l.fields, 1'000'000);
    count("aliases", l.aliases, 100'000);
    count("directives", l.directives, 100'000);
    count("fragments", l.fragments, 100'000);
  }

  void costs(const YAML::Node& root) {
    auto& costs = out_.engine.costs;
    costs.object_cost = yaml_.number(root, "object_cost", "", costs.object_cost, 0, kMost);
    costs.leaf_cost = yaml_.number(root, "leaf_cost", "", costs.leaf_cost, 0, kMost);
    out_.engine.options.usual_size =
        yaml_.number(root, "usual_size", "", out_.engine.options.usual_size, 0, kMost);
    if (!root["fields"].IsDefined() && !root["schema"].IsDefined()) {
      yaml_.fault(root, "fields", "must give costs by field, where there is no schema");
    }
    yaml_.each(root["fields"], "fields",
               [&](const std::string& name, const YAML::Node& value, const YAML::Node&) {
                 const auto path = "fields." + name;
                 if (!yaml_.map(value, path, {"cost", "size_argument", "usual_size", "booking"})) return;
                 graphql::FieldCost cost;
                 cost.cost = yaml_.number(value, "cost", path + ".", cost.cost, 0, kMost);
                 cost.usual_size = yaml_.number(value, "usual_size", path + ".", cost.usual_size, 0, kMost);
                 cost.size_argument = yaml_.text(value, "size_argument", path + ".");
                 cost.booking = yaml_.flag(value, "booking", path + ".", false);
                 costs.fields.emplace(name, cost);
               });
  }

  std::string beside(const std::string& path) const {
    return (std::filesystem::path(file_).parent_path() / path).string();
  }

  void schema(const YAML::Node& root) {
    const auto path = yaml_.text(root, "schema", "");
    out_.engine.booking_fields = yaml_.texts(root, "booking_fields", "");
    if (path.empty()) {
      const auto& fields = out_.engine.booking_fields;
      if (!fields.empty()) yaml_.fault(root["booking_fields"], "booking_fields", "need a schema");
      return;
    }
    try {
      out_.engine.schema = read_file(beside(path), "schema");
      if (out_.engine.schema.empty()) yaml_.fault(root["schema"], "schema", beside(path) + " is empty");
    } catch (const Error& error) {
      yaml_.fault(root["schema"], "schema", error.what());
    }
  }

  void subscriptions(const YAML::Node& node) {
    auto& limits = out_.subscriptions;
    if (!node.IsDefined() ||
        !yaml_.map(node, "subscriptions", {"most", "by_customer", "slow_reader", "keep_alive"})) {
      return;
    }
    const auto count = [&](const char* name, std::size_t absent) {
      return static_cast<std::size_t>(
          yaml_.number(node, name, "subscriptions.", static_cast<double>(absent), 0, 100'000));
    };
    limits.most = count("most", 200);
    limits.by_customer = count("by_customer", limits.by_customer);
    limits.slow_reader = yaml_.span(node, "slow_reader", "subscriptions.", limits.slow_reader);
    limits.keep_alive = yaml_.span(node, "keep_alive", "subscriptions.", limits.keep_alive);
    if (limits.most > 0 && out_.engine.schema.empty()) {
      yaml_.fault(node, "subscriptions", "need a schema, by which their events are priced");
    }
  }

  void persisted(const YAML::Node& node) {
    if (!node.IsDefined() || !yaml_.map(node, "persisted", {"automatic", "trusted", "only_trusted"})) return;
    auto& engine = out_.engine;
    engine.automatic = yaml_.flag(node, "automatic", "persisted.", false);
    engine.only_trusted = yaml_.flag(node, "only_trusted", "persisted.", false);
    const auto path = yaml_.text(node, "trusted", "persisted.");
    if (engine.only_trusted && path.empty()) {
      yaml_.fault(node, "persisted.trusted",
                  "missing: only trusted documents run, so a list of them is needed");
    }
    if (engine.only_trusted && engine.automatic) {
      yaml_.fault(node["automatic"], "persisted.automatic",
                  "cannot stand beside only_trusted: clients would add to the list");
    }
    if (path.empty()) return;
    try {
      engine.trusted = graphql::read_trusted(json::parse(read_file(beside(path), "persisted.trusted")));
    } catch (const std::exception& error) {
      yaml_.fault(node["trusted"], "persisted.trusted", beside(path) + ": " + error.what());
    }
  }

  YamlReader yaml_;
  const std::string file_;
  GraphqlFile out_;
};

}  // namespace

GraphqlFile parse_graphql_file(const std::string& text, const std::string& file, bool alone) {
  try {
    return GraphqlReader(text, file).read(alone);
  } catch (const Error& error) {
    const std::string what = error.what();
    throw Error(what.starts_with(file) ? what : file + ":" + what);
  }
}

GraphqlFile load_graphql_file(const std::string& file, bool alone) {
  return parse_graphql_file(read_file(file, file), file, alone);
}

std::vector<std::string> fixed_until_restart(const GraphqlFile& running, const GraphqlFile& file) {
  std::vector<std::string> out;
  if (!(running.listen == file.listen)) out.emplace_back("listen");
  if (running.servers != file.servers) out.emplace_back("servers");
  if (running.path != file.path) out.emplace_back("path");
  if (running.reading != file.reading || running.booking != file.booking) out.emplace_back("classes");
  return out;
}

}  // namespace cranemux::config
