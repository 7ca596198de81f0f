#include "scale/fit.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <limits>
#include <optional>
#include <set>
#include <stdexcept>

#include "config/config.h"
#include "config/yaml_reader.h"

namespace cranemux::scale {
namespace {

constexpr std::size_t kLeastPoints = 3;
constexpr double kRounding = 1e-9;  // of a value, that it may be off when read from decimals
constexpr std::string_view kPlusMinus = "±", kPlusMinusAscii = "+-", kBlanks = " \t\r";

struct Size {
  std::string_view name;
  double Row::*at;
};
constexpr Size kSizes[] = {{"gatekeepers", &Row::gatekeepers}, {"workers", &Row::workers},
                           {"services", &Row::services},       {"customers", &Row::customers},
                           {"routes", &Row::routes},           {"requests_per_s", &Row::requests_per_s}};
constexpr const char* kNoSize = "must be gatekeepers, workers, services, customers, routes or requests_per_s";

double Row::*size_of(std::string_view name) {
  for (const auto& size : kSizes) {
    if (size.name == name) return size.at;
  }
  return nullptr;
}

std::string short_of(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.4g", value);
  return text;
}

std::string with_error(const Fit& fit) {
  return short_of(fit.value) + " " + std::string(kPlusMinus) + " " + short_of(fit.error);
}

bool is_name(std::string_view text) {
  return !text.empty() && text.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789_") == text.npos;
}

class SlopesReader {
 public:
  explicit SlopesReader(const std::string& text) : yaml_(text) {}

  std::vector<Slope> read(const std::string& file) {
    const auto& root = yaml_.root();
    if (yaml_.map(root, "", {"slopes"})) {
      const auto list = root["slopes"];
      if (!list.IsDefined() || !list.IsSequence()) yaml_.fault(root, "slopes", "must be a list of maps");
      for (std::size_t i = 0; list.IsDefined() && list.IsSequence() && i < list.size(); ++i)
        slope(list[i], "slopes[" + std::to_string(i) + "]");
    }
    if (!yaml_.faults().empty()) throw std::runtime_error(config::describe(file, yaml_.faults()));
    return std::move(out_);
  }

 private:
  void slope(const YAML::Node& node, const std::string& self) {
    if (!yaml_.map(node, self, {"name", "measure", "run", "kind", "against", "where", "unit", "text"}))
      return;
    const auto path = self + ".";
    Slope out;
    out.name = yaml_.needed(node, "name", path);
    out.measure = yaml_.needed(node, "measure", path);
    out.run = yaml_.needed(node, "run", path);
    out.kind = yaml_.needed(node, "kind", path);
    out.unit = yaml_.needed(node, "unit", path);
    out.text = yaml_.needed(node, "text", path);
    out.against = yaml_.text(node, "against", path);
    const auto fault = [&](const char* key, const std::string& text) {
      if (node[key].IsDefined()) yaml_.fault(node[key], path + key, text);
    };
    if (!is_name(out.name)) fault("name", "must be made of a-z, 0-9 and _");
    if (!names_.insert(out.name).second) fault("name", "stands here twice: " + out.name);
    if (out.kind != "hollow" && out.kind != "process" && out.kind != "parts")
      fault("kind", "must be hollow, process or parts");
    if (!out.against.empty() && !size_of(out.against)) fault("against", kNoSize);
    if (const auto where = node["where"]; where.IsDefined()) {
      yaml_.each(where, path + "where",
                 [&](const std::string& name, const YAML::Node&, const YAML::Node& at) {
                   if (!size_of(name)) return yaml_.fault(at, path + "where." + name, kNoSize);
                   if (name == out.against)
                     yaml_.fault(at, path + "where." + name, "is what the slope is against");
                   out.where[name] = yaml_.number(where, name.c_str(), path + "where.", 0, 0, 1e12);
                 });
    }
    out_.push_back(std::move(out));
  }

  config::YamlReader yaml_;
  std::vector<Slope> out_;
  std::set<std::string> names_;
};

std::vector<Row> matching(const Slope& slope, const std::vector<Row>& rows) {
  std::vector<Row> out;
  std::string sought = "measure " + slope.measure + ", run " + slope.run + ", kind " + slope.kind;
  for (const auto& [name, value] : slope.where) sought += ", " + name + " " + short_of(value);
  for (const auto& row : rows) {
    if (row.measure != slope.measure || row.run != slope.run || row.kind != slope.kind) continue;
    if (std::all_of(slope.where.begin(), slope.where.end(),
                    [&](const auto& fixed) { return row.*size_of(fixed.first) == fixed.second; }))
      out.push_back(row);
  }
  const auto refuse = [&](const std::string& what) { throw std::runtime_error(slope.name + ": " + what); };
  if (out.empty()) refuse("there are no rows of " + sought + "; run scale/run, or mend its definition");
  for (const auto& row : out) {
    // A slope has a unit of its own, such as bytes per worker.
    const auto& unit = slope.against.empty() ? slope.unit : out.front().unit;
    if (row.unit != unit) refuse("there are rows in " + row.unit + ", not in " + unit + ", of " + sought);
  }
  return out;
}

void fit_figure(Fit& out, const std::vector<Row>& rows) {
  const auto n = static_cast<double>(rows.size());
  for (const auto& row : rows) out.value += row.value / n;
  double squares = 0;
  for (const auto& row : rows) squares += (row.value - out.value) * (row.value - out.value);
  if (rows.size() > 1) out.error = std::sqrt(squares / (n - 1));
}

void fit_line(Fit& out, const std::vector<Row>& rows) {
  struct Sum {
    double values = 0, rows = 0;
    double mean() const { return values / rows; }
  };
  std::map<double, Sum> points;  // by size
  for (const auto& row : rows) {
    auto& sum = points[row.*size_of(out.slope.against)];
    sum.values += row.value;
    ++sum.rows;
  }
  out.points = points.size();
  if (out.points < kLeastPoints)
    throw std::runtime_error(out.slope.name + ": needs rows at " + std::to_string(kLeastPoints) +
                             " sizes of " + out.slope.against + ", and there are " +
                             std::to_string(out.points) + "; run scale/run at more, or mend its definition");
  const auto n = static_cast<double>(out.points);
  double mean_x = 0, mean_y = 0, xx = 0, xy = 0, yy = 0, residuals = 0;
  for (const auto& [x, sum] : points) {
    mean_x += x / n;
    mean_y += sum.mean() / n;
  }
  for (const auto& [x, sum] : points) {
    const double dx = x - mean_x, dy = sum.mean() - mean_y;
    xx += dx * dx;
    xy += dx * dy;
    yy += dy * dy;
  }
  out.value = xy / xx;
  out.at_zero = mean_y - out.value * mean_x;
  for (const auto& [x, sum] : points) {
    const double y = sum.mean(), residual = std::abs(y - out.at_zero - out.value * x);
    residuals += residual * residual;
    if (residual > 0)
      out.off = std::max(out.off, y == 0 ? std::numeric_limits<double>::infinity() : residual / std::abs(y));
  }
  out.error = std::sqrt(residuals / (n - 2) / xx);
  if (yy > 0) out.r2 = 1 - residuals / yy;
  out.least_x = points.begin()->first;
  out.most_x = points.rbegin()->first;
}

std::string_view trimmed(std::string_view text) {
  const auto first = text.find_first_not_of(kBlanks);
  if (first == text.npos) return {};
  return text.substr(first, text.find_last_not_of(kBlanks) + 1 - first);
}

struct Mention {
  std::string name, unit;
  double value = 0, error = 0;
};

// Takes a number off the front of `text`.
bool take(std::string_view& text, double& out) {
  text = trimmed(text);
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
  if (error != std::errc{} || !std::isfinite(out)) return false;
  text = trimmed(text.substr(static_cast<std::size_t>(end - text.data())));
  return true;
}

std::optional<Mention> mention(std::string_view span) {
  Mention out;
  auto rest = span.substr(1, span.size() - 2);
  const auto equals = rest.find('=');
  if (equals == rest.npos) return std::nullopt;
  out.name = trimmed(rest.substr(0, equals));
  rest.remove_prefix(equals + 1);
  if (!is_name(out.name) || !take(rest, out.value)) return std::nullopt;
  const auto sign = rest.starts_with(kPlusMinus) ? kPlusMinus : kPlusMinusAscii;
  if (!rest.starts_with(sign)) return std::nullopt;
  rest.remove_prefix(sign.size());
  if (!take(rest, out.error) || out.error < 0) return std::nullopt;
  out.unit = rest;
  return out;
}

// Code spans in braces that state something, whether well or not.
std::vector<std::string_view> spans(std::string_view line) {
  std::vector<std::string_view> out;
  for (std::size_t at = 0; (at = line.find('`', at)) != line.npos;) {
    const auto end = line.find('`', at + 1);
    if (end == line.npos) break;
    const auto span = trimmed(line.substr(at + 1, end - at - 1));
    at = end + 1;
    if (!span.starts_with('{') || !span.ends_with('}')) continue;
    if (span.find('=') != span.npos || span.find(kPlusMinus) != span.npos ||
        span.find(kPlusMinusAscii) != span.npos)
      out.push_back(span);
  }
  return out;
}

}  // namespace

std::vector<Slope> read_slopes(const std::string& file, const std::string& text) {
  try {
    return SlopesReader(text).read(file);
  } catch (const config::Error& error) {  // it is no YAML
    throw std::runtime_error(file + ":" + error.what());
  }
}

Fit fit(const Slope& slope, const std::vector<Row>& rows) {
  Fit out;
  out.slope = slope;
  const auto own = matching(slope, rows);
  out.rows = own.size();
  if (slope.against.empty()) {
    fit_figure(out, own);
  } else {
    fit_line(out, own);
  }
  return out;
}

std::vector<Fit> fit_all(const std::vector<Slope>& slopes, const std::vector<Row>& rows) {
  std::vector<Fit> out;
  std::string faults;
  for (const auto& slope : slopes) {
    try {
      out.push_back(fit(slope, rows));
    } catch (const std::runtime_error& error) {
      faults += (faults.empty() ? "" : "\n") + std::string(error.what());
    }
  }
  if (!faults.empty()) throw std::runtime_error(faults);
  return out;
}

std::string describe(const std::vector<Fit>& fits) {
  std::string out =
      "| name | value | unit | at 0 | r² | off by at most | measured over | what |\n"
      "| --- | --- | --- | --- | --- | --- | --- | --- |\n";
  for (const auto& one : fits) {
    const auto& slope = one.slope;
    out += "| " + slope.name + " | " + with_error(one) + " | " + slope.unit + " | ";
    if (slope.against.empty()) {
      out += "| | | " + std::to_string(one.rows) + " rows";
    } else {
      out += short_of(one.at_zero) + " | " + short_of(one.r2) + " | " + short_of(100 * one.off) + "% | " +
             std::to_string(one.points) + " sizes, " + short_of(one.least_x) + " to " + short_of(one.most_x) +
             " " + slope.against;
    }
    out += " | " + slope.text + " |\n";
  }
  return out;
}

std::vector<std::string> check_page(const std::string& file, std::string_view text,
                                    const std::vector<Slope>& slopes, const std::vector<Row>& rows) {
  std::vector<std::string> faults;
  std::set<std::string> named;
  const auto check = [&](const Mention& told) -> std::string {
    const auto slope =
        std::find_if(slopes.begin(), slopes.end(), [&](const auto& s) { return s.name == told.name; });
    if (slope == slopes.end()) return told.name + ": has no definition among the slopes";
    named.insert(told.name);
    std::string out;
    const auto add = [&](const std::string& what) { out += (out.empty() ? told.name + ": " : "; ") + what; };
    if (told.unit != slope->unit) add("is in " + slope->unit + ", not in " + told.unit);
    if (told.value != 0 && told.error > std::abs(told.value) / 2)
      add("the error is above half of the value: measure more, or state it as unknown");
    try {
      const auto fitted = fit(*slope, rows);
      if (std::abs(told.value - fitted.value) > told.error + kRounding * std::abs(fitted.value))
        add("states " + short_of(told.value) + " and is off by more than its error: the runs give " +
            with_error(fitted) + " " + slope->unit);
    } catch (const std::runtime_error& error) {  // names the slope itself
      return out.empty() ? error.what() : out + "; " + error.what();
    }
    return out;
  };
  bool fenced = false;
  for (int line = 1; !text.empty(); ++line) {
    const auto end = std::min(text.find('\n'), text.size());
    const auto own = trimmed(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
    if (own.starts_with("```")) fenced = !fenced;
    if (fenced) continue;
    for (const auto span : spans(own)) {
      const auto told = mention(span);
      const auto fault =
          told ? check(*told)
               : std::string(span) + ": must read {name = VALUE ± ERROR UNIT}, as in {x = 2 ± 0.1 s}";
      if (!fault.empty()) faults.push_back(file + ":" + std::to_string(line) + ": " + fault);
    }
  }
  for (const auto& slope : slopes) {
    if (!named.contains(slope.name))
      faults.push_back(file + ": " + slope.name + ": is not mentioned: state {" + slope.name +
                       " = VALUE ± ERROR " + slope.unit + "}, or drop its definition");
  }
  if (slopes.empty()) faults.push_back(file + ": no slopes are defined, so that nothing backs the page");
  return faults;
}

}  // namespace cranemux::scale
