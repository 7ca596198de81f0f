#include <algorithm>
#include <charconv>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <stdexcept>

#include "config/config.h"
#include "config/yaml_reader.h"
#include "scale/scenario.h"

namespace cranemux::scale {
namespace {

using Keys = std::initializer_list<std::string_view>;

constexpr double kMostSeconds = 3600, kMostDelayMs = 10'000, kMostWorkMs = 60'000, kMostLoss = 0.9;
constexpr double kMostRequests = 1e6;  // a second

// Bytes, estimated: a module for each service, in it a worker, a customer's ledger, and a request played.
constexpr double kModule = 20e3, kWorker = 250, kLedger = 600, kRequest = 40;
constexpr double kTries = 3;  // of a request, at the most

std::string short_of(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.4g", value);
  return text;
}

class Reader {
 public:
  explicit Reader(const std::string& text) : yaml_(text) {}

  Scenario read(const std::string& file, std::uint64_t memory) {
    const auto& root = yaml_.root();
    if (yaml_.map(root, "", {"name",          "gatekeepers",
                             "workers",       "services",
                             "customers",     "requests_per_s",
                             "warm",          "time",
                             "seed",          "spread",
                             "zipf",          "full",
                             "heavy",         "spiky",
                             "retries",       "work",
                             "regions",       "zones",
                             "delays",        "loss",
                             "mail_in_per_s", "control_machines",
                             "faults"})) {
      sizes(root);
      customers(root);
      network(root);
      if (const auto list = root["faults"]; list.IsDefined() && !list.IsNull()) faults(list);
      if (yaml_.faults().empty()) fits(root, static_cast<double>(memory) / 2);
    }
    if (!yaml_.faults().empty()) throw std::runtime_error(config::describe(file, yaml_.faults()));
    return std::move(out_);
  }

 private:
  void sizes(const YAML::Node& root) {
    out_.name = yaml_.needed(root, "name", "");
    if (const auto node = root["name"];
        node.IsDefined() && node.IsScalar() &&
        (out_.name.empty() || out_.name.find_first_of(", \t\r\n") != std::string::npos))
      yaml_.fault(node, "name", "must be one word without a comma, as results carry it");
    whole(root, "gatekeepers", "", out_.gatekeepers, 1, 2000);
    whole(root, "workers", "", out_.workers, 1, 20'000);
    whole(root, "services", "", out_.services, 1, out_.workers, ", the workers");
    whole(root, "customers", "", out_.customers, 1, 1'000'000);
    positive(root, "requests_per_s", "", out_.requests_per_s, kMostRequests);
    span(root, "warm", "", out_.warm_s, 1, 0, kMostSeconds);
    span(root, "time", "", out_.seconds, 1, 0.001, kMostSeconds);
    if (const auto seed = yaml_.text(root, "seed", ""); !seed.empty()) {
      const auto [end, error] = std::from_chars(seed.data(), seed.data() + seed.size(), out_.seed);
      if (error != std::errc{} || end != seed.data() + seed.size())
        yaml_.fault(root["seed"], "seed", "must be a whole number from 0 to 18446744073709551615");
    }
    whole(root, "control_machines", "", out_.control_machines, 0, 2000);
    whole(root, "retries", "", out_.retries, 0, 10);
    span(root, "work", "", out_.work_ms, 1e3, 0.001, kMostWorkMs);
  }

  void customers(const YAML::Node& root) {
    if (section(root, "spread", {"least", "most"})) {
      const auto before = yaml_.faults().size();
      positive(root["spread"], "least", "spread.", out_.least_spread, 1);
      positive(root["spread"], "most", "spread.", out_.most_spread, 1);
      if (yaml_.faults().size() == before && out_.least_spread > out_.most_spread)
        yaml_.fault(root["spread"], "spread",
                    "least, " + short_of(out_.least_spread) + ", must not be above most, " +
                        short_of(out_.most_spread));
    }
    out_.zipf = yaml_.number(root, "zipf", "", out_.zipf, 0, 4);
    const auto before = yaml_.faults().size();
    out_.full = yaml_.number(root, "full", "", out_.full, 0, 1);
    out_.heavy = yaml_.number(root, "heavy", "", out_.heavy, 0, 1);
    out_.spiky = yaml_.number(root, "spiky", "", out_.spiky, 0, 1);
    const double sum = out_.full + out_.heavy + out_.spiky;
    if (yaml_.faults().size() > before || sum <= 1 + 1e-9) return;
    const auto* last = root["spiky"].IsDefined() ? "spiky" : root["heavy"].IsDefined() ? "heavy" : "full";
    yaml_.fault(root[last], last,
                "full, heavy and spiky are " + short_of(sum) + " together, and must be 1 at the most");
  }

  void network(const YAML::Node& root) {
    whole(root, "zones", "", out_.zones, 1, out_.gatekeepers, ", the gatekeepers");
    whole(root, "regions", "", out_.regions, 1, out_.zones, ", the zones");
    if (section(root, "delays", {"zone", "region", "cross", "jitter"})) {
      const auto delays = root["delays"];
      span(delays, "zone", "delays.", out_.zone_ms, 1e3, 0, kMostDelayMs);
      span(delays, "region", "delays.", out_.region_ms, 1e3, 0, kMostDelayMs);
      span(delays, "cross", "delays.", out_.cross_ms, 1e3, 0, kMostDelayMs);
      span(delays, "jitter", "delays.", out_.jitter_ms, 1e3, 0, kMostDelayMs);
    }
    if (section(root, "loss", {"zone", "region", "cross"})) {
      const auto loss = root["loss"];
      out_.zone_loss = yaml_.number(loss, "zone", "loss.", out_.zone_loss, 0, kMostLoss);
      out_.region_loss = yaml_.number(loss, "region", "loss.", out_.region_loss, 0, kMostLoss);
      out_.cross_loss = yaml_.number(loss, "cross", "loss.", out_.cross_loss, 0, kMostLoss);
    }
    positive(root, "mail_in_per_s", "", out_.mail_in_per_s, kMostRequests);
  }

  void faults(const YAML::Node& list) {
    if (!list.IsSequence()) return yaml_.fault(list, "faults", "must be a list of maps");
    for (std::size_t i = 0; i < list.size(); ++i) fault(list[i], "faults[" + std::to_string(i) + "].");
  }

  void fault(const YAML::Node& node, const std::string& path) {
    const auto self = path.substr(0, path.size() - 1);
    if (!node.IsMap()) return yaml_.fault(node, self, "must be a map");
    const auto kind = yaml_.needed(node, "kind", path);
    Fault out;
    if (kind == "restart") {
      out.kind = FaultKind::restart;
      yaml_.map(node, self, {"kind", "at", "for", "gatekeepers"});
      if (present(node, "gatekeepers", path))
        whole(node, "gatekeepers", path, out.gatekeepers, 1, out_.gatekeepers, ", the gatekeepers");
      span(node, "for", path, out.for_s, 1, 0, kMostSeconds);
    } else if (kind == "kill_keepers") {
      out.kind = FaultKind::kill_keepers;
      yaml_.map(node, self, {"kind", "at", "customer"});
      whole(node, "customer", path, out.customer, 0, out_.customers - 1, ", a customer by rank");
    } else if (kind == "zone_lost" || kind == "regions_cut") {
      const bool zone = kind == "zone_lost";
      out.kind = zone ? FaultKind::zone_lost : FaultKind::regions_cut;
      if (zone) {
        yaml_.map(node, self, {"kind", "at", "for", "zone"});
        whole(node, "zone", path, out.zone, 0, out_.zones - 1, ", a zone");
      } else {
        yaml_.map(node, self, {"kind", "at", "for"});
        if (out_.regions == 1) yaml_.fault(node["kind"], path + "kind", "needs `regions` of 2 or more");
      }
      if (present(node, "for", path)) span(node, "for", path, out.for_s, 1, 0.001, kMostSeconds);
    } else if (!kind.empty()) {
      yaml_.fault(node["kind"], path + "kind", "must be restart, kill_keepers, zone_lost or regions_cut");
    }
    if (present(node, "at", path)) span(node, "at", path, out.at_s, 1, 0, out_.warm_s + out_.seconds);
    out_.faults.push_back(out);
  }

  // What it takes, part by part, so that the fault can say what to lower.
  void fits(const YAML::Node& root, double most) {
    const double gatekeepers = out_.gatekeepers, time = out_.warm_s + out_.seconds;
    const double met = out_.requests_per_s / gatekeepers * time * kTries;
    const double spread = (out_.least_spread + out_.most_spread) / 2;
    const double modules = gatekeepers * (out_.services * kModule + out_.workers * kWorker);
    const double ledgers = gatekeepers * kLedger * std::min(out_.customers * spread, met);
    const double requests = kRequest * out_.requests_per_s * time * kTries;
    if (modules + ledgers + requests <= most) return;
    const auto size = [](double bytes) { return short_of(bytes / 1e9) + " GB"; };
    yaml_.fault(root["gatekeepers"].IsDefined() ? root["gatekeepers"] : root, "gatekeepers",
                "all sizes together take about " + size(modules + ledgers + requests) +
                    ", and half of this machine's memory is " + size(most) +
                    ": lower gatekeepers, services or workers (" + size(modules) +
                    "), customers or spread (" + size(ledgers) + "), requests_per_s or time (" +
                    size(requests) + ")");
  }

  bool section(const YAML::Node& root, const char* name, Keys keys) {
    const auto node = root[name];
    return node.IsDefined() && !node.IsNull() && yaml_.map(node, name, keys);
  }

  bool present(const YAML::Node& node, const char* name, const std::string& path) {
    const auto value = node[name];
    if (value.IsDefined() && !value.IsNull()) return true;
    yaml_.fault(node, path + name, "missing");
    return false;
  }

  // After a fault `out` is the most, lest what must not be above it be a fault too.
  void whole(const YAML::Node& in, const char* name, const std::string& path, int& out, int least, int most,
             const std::string& which = {}) {
    const auto before = yaml_.faults().size();
    const double value = yaml_.number(in, name, path, out, -1e300, 1e300);
    const bool read = yaml_.faults().size() == before;
    if (read && value >= least && value <= most && value == std::floor(value)) {
      out = static_cast<int>(value);
      return;
    }
    out = most;
    if (!read) return;
    yaml_.fault(
        in[name].IsDefined() ? in[name] : in, path + name,
        "must be a whole number from " + std::to_string(least) + " to " + std::to_string(most) + which);
  }

  void positive(const YAML::Node& in, const char* name, const std::string& path, double& out, double most) {
    const double value = yaml_.number(in, name, path, out, 0, most);
    if (value > 0) {
      out = value;
    } else {
      yaml_.fault(in[name], path + name, "must be above 0, and " + short_of(most) + " at the most");
    }
  }

  // In seconds, or with `unit` 1e3 in milliseconds. The most after a fault, as above.
  void span(const YAML::Node& in, const char* name, const std::string& path, double& out, double unit,
            double least, double most) {
    const auto before = yaml_.faults().size();
    const std::chrono::duration<double> absent(out / unit);
    const auto told =
        yaml_.span(in, name, path, std::chrono::duration_cast<std::chrono::nanoseconds>(absent));
    const double value = static_cast<double>(told.count()) * unit / 1e9;
    const bool read = yaml_.faults().size() == before;
    if (read && !in[name].IsDefined()) return;
    out = read && value >= least && value <= most ? value : most;
    if (!read || out == value) return;
    const auto plain = [&](double v) { return short_of(v) + (unit == 1 ? "s" : "ms"); };
    yaml_.fault(in[name], path + name, "must lie within " + plain(least) + " and " + plain(most));
  }

  config::YamlReader yaml_;
  Scenario out_;
};

}  // namespace

Scenario read_scenario(const std::string& file, const std::string& text, std::uint64_t memory) {
  try {
    return Reader(text).read(file, memory);
  } catch (const config::Error& error) {  // it is no YAML
    throw std::runtime_error(file + ":" + error.what());
  }
}

}  // namespace cranemux::scale
