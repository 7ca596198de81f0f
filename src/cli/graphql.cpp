// Schemas, documents and costs, without a gatekeeper.
#include <cmath>
#include <iomanip>
#include <iostream>

#include "cli/commands.h"
#include "config/config.h"
#include "graphql/engine.h"
#include "graphql/parser.h"

namespace cranemux::cli {
namespace {

using namespace cranemux::graphql;

// Faults come as `FILE:LINE:COLUMN: what is wrong`.
std::string place(const std::string& file, Place at) {
  if (at.line == 0) return file + ": ";
  return file + ":" + std::to_string(at.line) + ":" + std::to_string(at.column) + ": ";
}

std::shared_ptr<const Schema> read_schema(const std::string& file) {
  try {
    return std::make_shared<const Schema>(config::read_file(file, file));
  } catch (const SchemaError& error) {
    std::string lines;
    for (const auto& fault : error.faults)
      lines += (lines.empty() ? "" : "\n") + place(file, fault.at) + fault.text;
    throw config::Error(lines);
  }
}

Document read_document(const std::string& file, const Limits& limits) {
  try {
    return parse(config::read_file(file, file), limits);
  } catch (const Error& error) {
    throw config::Error(place(file, error.at) + error.what());
  }
}

// Prints what is wrong; true if nothing is.
bool valid(const Schema& schema, const Document& document, const std::string& file, const Limits& limits) {
  const auto faults = validate(schema, document, FragmentIndex(document), limits);
  for (const auto& fault : faults) {
    const auto& rule = kRuleNames[static_cast<std::size_t>(fault.rule)];
    std::cout << place(file, fault.at.front()) << fault.text << " (" << rule.section << ' ' << rule.name
              << ")\n";
  }
  return faults.empty();
}

struct Line {
  std::string path;
  double times, each, sum;  // how often it is asked for, what one costs, both together
};

// Of values that may be of several types, the variant that the price is of.
void lines_of(const Shape& shape, const std::string& path, double times, std::vector<Line>& out) {
  const Variant* dearest = nullptr;
  double most = -1e300;
  for (const auto& variant : shape.variants) {
    double cost = 0;
    for (const auto& entry : variant.entries) cost += cost_of(entry);
    if (cost > most) dearest = &variant;
    most = std::max(most, cost);
  }
  if (!dearest) return;
  for (const auto& entry : dearest->entries) {
    const auto here = path + (path.empty() ? "" : ".") + std::string(entry.key);
    const double each = entry.own + entry.size * entry.item_weight;
    if (each != 0) out.push_back({here, times, each, times * each});
    if (entry.below) lines_of(*entry.below, here, times * entry.size, out);
  }
}

void print_table(const std::vector<Line>& lines, const Priced& priced) {
  std::size_t width = 5;
  for (const auto& line : lines) width = std::max(width, line.path.size());
  const auto row = [&](const std::string& path, const auto& times, const auto& each, const auto& sum) {
    std::cout << std::left << std::setw(static_cast<int>(width)) << path << std::right << std::setw(12)
              << times << std::setw(12) << each << std::setw(14) << sum << '\n';
  };
  row("field", "times", "cost", "together");
  for (const auto& line : lines) row(line.path, line.times, line.each, line.sum);
  std::cout << (priced.booking ? "a booking" : "reading") << ", "
            << std::max(1.0, std::ceil(priced.units - 1e-9)) << " units\n";
}

void print_json(const std::vector<Line>& lines, const Priced& priced) {
  std::cout << R"({"units":)" << std::max(1.0, std::ceil(priced.units - 1e-9)) << R"(,"booking":)"
            << (priced.booking ? "true" : "false") << R"(,"fields":[)";
  for (std::size_t i = 0; i < lines.size(); ++i) {
    std::string path;
    json::write_string(path, lines[i].path);
    std::cout << (i > 0 ? "," : "") << R"({"path":)" << path << R"(,"times":)" << lines[i].times
              << R"(,"cost":)" << lines[i].each << R"(,"together":)" << lines[i].sum << '}';
  }
  std::cout << "]}\n";
}

}  // namespace

int graphql_check(const GraphqlCommand& command) {
  const auto schema = read_schema(command.schema);
  std::size_t own = 0, fields = 0;
  for (const auto& [name, type] : schema->types()) {
    own += type->built_in ? 0 : 1;
    fields += type->built_in ? 0 : type->fields.size();
  }
  std::cout << "good: " << own << " types, " << fields << " fields\n";
  return 0;
}

int graphql_validate(const GraphqlCommand& command) {
  const auto schema = read_schema(command.schema);
  const Limits limits;
  const auto document = read_document(command.document, limits);
  if (!valid(*schema, document, command.document, limits)) return 1;
  std::cout << "good: " << document.operations.size() << " operations, " << document.fragments.size()
            << " fragments\n";
  return 0;
}

int graphql_price(const GraphqlCommand& command) {
  const auto schema = read_schema(command.schema);
  const Limits limits;
  const auto document = read_document(command.document, limits);
  if (!valid(*schema, document, command.document, limits)) return 1;
  try {
    json::Value told;
    if (!command.variables.empty())
      told = json::parse(config::read_file(command.variables, command.variables));
    const auto& operation = pick(document, command.operation);
    CostOptions options;
    options.usual_size = command.usual_size;
    const auto variables = coerce_variables(*schema, operation, &told);
    const FragmentIndex index(document);
    const auto priced = price(*schema, operation, variables, options, limits);
    std::vector<Line> lines;
    lines_of(*priced->shape, "", 1, lines);
    command.as_json ? print_json(lines, *priced) : print_table(lines, *priced);
  } catch (const Error& error) {
    throw config::Error(place(command.document, error.at) + error.what());
  }
  return 0;
}

}  // namespace cranemux::cli
