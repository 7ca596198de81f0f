#include "config/yaml_reader.h"

#include <algorithm>
#include <charconv>
#include <set>
#include <span>
#include <tuple>

#include "config/config.h"

namespace cranemux::config {
namespace {

constexpr std::size_t kMostText = 16 * 1024 * 1024;

struct Unit {
  std::string_view name;
  double size;
};
constexpr Unit kSpans[] = {{"us", 1e3}, {"ms", 1e6}, {"s", 1e9}, {"m", 60e9}, {"h", 3600e9}};
constexpr Unit kBytes[] = {{"B", 1}, {"KiB", 1024}, {"MiB", 1024.0 * 1024}, {"GiB", 1024.0 * 1024 * 1024}};

// A figure of 0 or more and its unit, or nothing.
std::optional<double> quantity(std::string_view text, std::span<const Unit> units) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || !(value >= 0 && value < 1e15)) return std::nullopt;
  const auto rest = text.substr(static_cast<std::size_t>(end - text.data()));
  for (const auto& unit : units) {
    if (rest == unit.name) return value * unit.size;
  }
  return std::nullopt;
}

}  // namespace

YamlReader::YamlReader(const std::string& text) {
  if (text.size() > kMostText) throw Error(" the file is larger than 16 MiB");
  try {
    root_ = YAML::Load(text);
  } catch (const YAML::Exception& error) {
    throw Error(std::to_string(error.mark.line + 1) + ":" + std::to_string(error.mark.column + 1) +
                ": is no YAML: " + error.msg);
  }
}

void YamlReader::fault(const YAML::Node& at, const std::string& key, const std::string& text) {
  const auto mark = at.Mark();
  faults_.push_back({mark.line + 1, mark.column + 1, key, text});
}

bool YamlReader::map(const YAML::Node& node, const std::string& key,
                     std::initializer_list<std::string_view> allowed) {
  if (!node.IsMap()) {
    fault(node, key, "must be a map");
    return false;
  }
  each(node, key, [&](const std::string& name, const YAML::Node&, const YAML::Node& at) {
    if (std::find(allowed.begin(), allowed.end(), name) != allowed.end()) return;
    std::string known;
    for (const auto one : allowed) known += (known.empty() ? "" : ", ") + std::string(one);
    fault(at, key.empty() ? name : key + "." + name, "there is no such key here (there are " + known + ")");
  });
  return true;
}

void YamlReader::each(const YAML::Node& node, const std::string& key,
                      const std::function<void(const std::string& name, const YAML::Node& value,
                                               const YAML::Node& at)>& visit) {
  if (!node.IsDefined() || node.IsNull()) return;
  if (!node.IsMap()) return fault(node, key, "must be a map");
  std::set<std::string> seen;
  for (const auto& pair : node) {
    if (!pair.first.IsScalar()) {
      fault(pair.first, key, "a key must be a text");
      continue;
    }
    const auto& name = pair.first.Scalar();
    if (!seen.insert(name).second) {
      fault(pair.first, key.empty() ? name : key + "." + name, "stands here twice");
      continue;
    }
    visit(name, pair.second, pair.first);
  }
}

std::string YamlReader::text(const YAML::Node& in, const char* name, const std::string& path,
                             const std::string& absent) {
  const auto node = in[name];
  if (!node.IsDefined() || node.IsNull()) return absent;
  if (!node.IsScalar()) {
    fault(node, path + name, "must be a text");
    return absent;
  }
  return node.Scalar();
}

std::string YamlReader::needed(const YAML::Node& in, const char* name, const std::string& path) {
  const auto node = in[name];
  if (!node.IsDefined() || node.IsNull()) fault(in, path + name, "missing");
  return text(in, name, path);
}

double YamlReader::number(const YAML::Node& in, const char* name, const std::string& path, double absent,
                          double least, double most) {
  const auto node = in[name];
  if (!node.IsDefined() || node.IsNull()) return absent;
  double value = 0;
  const auto& told = node.IsScalar() ? node.Scalar() : std::string();
  const auto [end, error] = std::from_chars(told.data(), told.data() + told.size(), value);
  if (told.empty() || error != std::errc{} || end != told.data() + told.size()) {
    fault(node, path + name, "must be a number");
    return absent;
  }
  if (!(value >= least && value <= most)) {
    const auto plain = [](double v) {
      char out[32];
      return std::string(out, std::to_chars(out, out + sizeof out, v).ptr);
    };
    fault(node, path + name, "must lie within " + plain(least) + " and " + plain(most));
    return absent;
  }
  return value;
}

bool YamlReader::flag(const YAML::Node& in, const char* name, const std::string& path, bool absent) {
  const auto node = in[name];
  if (!node.IsDefined() || node.IsNull()) return absent;
  if (node.IsScalar() && (node.Scalar() == "true" || node.Scalar() == "false"))
    return node.Scalar() == "true";
  fault(node, path + name, "must be true or false");
  return absent;
}

std::chrono::nanoseconds YamlReader::span(const YAML::Node& in, const char* name, const std::string& path,
                                          std::chrono::nanoseconds absent) {
  const auto node = in[name];
  if (!node.IsDefined() || node.IsNull()) return absent;
  const auto value = node.IsScalar() ? quantity(node.Scalar(), kSpans) : std::nullopt;
  if (!value) fault(node, path + name, "must be a time with its unit, such as 250ms, 1.5s or 2m");
  return value ? std::chrono::nanoseconds(static_cast<std::int64_t>(*value)) : absent;
}

std::size_t YamlReader::bytes(const YAML::Node& in, const char* name, const std::string& path,
                              std::size_t absent) {
  const auto node = in[name];
  if (!node.IsDefined() || node.IsNull()) return absent;
  const auto value = node.IsScalar() ? quantity(node.Scalar(), kBytes) : std::nullopt;
  if (!value) fault(node, path + name, "must be a size with its unit, such as 512B, 64KiB or 4MiB");
  return value ? static_cast<std::size_t>(*value) : absent;
}

std::vector<std::string> YamlReader::texts(const YAML::Node& in, const char* name, const std::string& path) {
  const auto node = in[name];
  if (!node.IsDefined() || node.IsNull()) return {};
  if (node.IsScalar()) return {node.Scalar()};
  std::vector<std::string> out;
  if (!node.IsSequence()) fault(node, path + name, "must be a list of texts");
  for (std::size_t i = 0; node.IsSequence() && i < node.size(); ++i) {
    if (node[i].IsScalar()) {
      out.push_back(node[i].Scalar());
    } else {
      fault(node[i], path + name, "must be a list of texts");
    }
  }
  return out;
}

std::string describe(const std::string& file, std::vector<Fault> faults) {
  std::stable_sort(faults.begin(), faults.end(), [](const Fault& a, const Fault& b) {
    return std::tie(a.line, a.column) < std::tie(b.line, b.column);
  });
  std::string out;
  for (const auto& fault : faults) {
    out += (out.empty() ? "" : "\n") + file;
    if (fault.line > 0) out += ":" + std::to_string(fault.line);
    if (fault.line > 0 && fault.column > 0) out += ":" + std::to_string(fault.column);
    out += ": " + (fault.key.empty() ? "" : fault.key + ": ") + fault.text;
  }
  return out;
}

}  // namespace cranemux::config
