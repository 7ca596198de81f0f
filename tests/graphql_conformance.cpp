// The tables under tests/graphql, played: documents, schemas and variables with the verdicts that the
// specification demands. Usage: graphql_conformance FOLDER [mutations]: with `mutations`, leaves each rule
// out in turn and fails where no case notices.
#include <algorithm>
#include <fstream>
#include <iostream>
#include <set>
#include <sstream>

#include "graphql/parser.h"
#include "graphql/validator.h"
#include "graphql/values.h"

namespace {

using namespace cranemux::graphql;
namespace json = cranemux::json;

struct Case {
  int line = 0;
  std::vector<std::string> parts;
};

std::string read_file(const std::string& path) {
  std::ifstream in(path);
  if (!in) throw std::runtime_error("cannot read " + path);
  return {std::istreambuf_iterator<char>(in), {}};
}

std::string unescaped(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '\\' || i + 1 == text.size()) {
      out += text[i];
    } else if (text.compare(i, 6, "\\uFEFF") == 0) {
      out += "\xEF\xBB\xBF";
      i += 5;
    } else {
      const char c = text[++i];
      out += c == 'n' ? '\n' : c == 'r' ? '\r' : c == 't' ? '\t' : c;
    }
  }
  return out;
}

// Lines of `parts` parts, set apart by ` | `; what stands behind the last of them belongs to it.
std::vector<Case> read_cases(const std::string& path, std::size_t parts) {
  std::istringstream in(read_file(path));
  std::vector<Case> out;
  std::string line;
  for (int number = 1; std::getline(in, line); ++number) {
    if (line.empty() || line.starts_with("# ")) continue;
    Case one{number, {}};
    for (std::size_t i = 1; i < parts; ++i) {
      const auto bar = line.find(" | ");
      if (bar == std::string::npos)
        throw std::runtime_error(path + ":" + std::to_string(number) + ": no bar");
      one.parts.push_back(line.substr(0, bar));
      line.erase(0, bar + 3);
    }
    one.parts.push_back(line);
    out.push_back(std::move(one));
  }
  return out;
}

std::set<std::string> names_in(const std::string& text) {
  std::set<std::string> out;
  std::istringstream in(text);
  for (std::string name; std::getline(in >> std::ws, name, ',');) out.insert(name);
  return out;
}

std::set<std::string> verdict(const Schema& schema, const std::string& text, const RuleSet& left_out,
                              std::string* told = nullptr) {
  try {
    const auto document = parse(text);
    const auto faults = validate(schema, document, FragmentIndex(document), {}, left_out);
    if (faults.empty()) return {"ok"};
    std::set<std::string> out;
    for (const auto& fault : faults) {
      out.emplace(name_of(fault.rule));
      if (told) *told += "    " + fault.text + "\n";
      if (fault.text.empty() || fault.at.empty() || fault.at[0].line == 0)
        out.insert("a fault without text or place");
    }
    return out;
  } catch (const Error& error) {
    if (told) *told = std::string("    ") + error.what() + "\n";
    return {error.code == kParseFailed ? "parse" : error.code};
  }
}

int check_documents(const Schema& schema, const std::vector<Case>& cases) {
  int failed = 0;
  for (const auto& one : cases) {
    const auto wanted = names_in(one.parts[0]);
    std::string told;
    const auto got = verdict(schema, unescaped(one.parts[1]), {}, &told);
    if (got == wanted) continue;
    ++failed;
    std::cout << "documents.txt:" << one.line << ": wanted " << one.parts[0] << ", got";
    for (const auto& name : got) std::cout << " [" << name << "]";
    std::cout << "\n  " << one.parts[1] << "\n" << told;
  }
  return failed;
}

int check_schemas(const std::vector<Case>& cases) {
  int failed = 0;
  for (const auto& one : cases) {
    std::string got = "ok";
    try {
      const Schema schema(unescaped(one.parts[1]));
    } catch (const SchemaError& error) {
      got = error.what();
    }
    if (one.parts[0] == "ok" ? got == "ok" : got != "ok" && got.find(one.parts[0]) != std::string::npos)
      continue;
    ++failed;
    std::cout << "schemas.txt:" << one.line << ": wanted '" << one.parts[0] << "', got '" << got << "'\n  "
              << one.parts[1] << "\n";
  }
  return failed;
}

std::string coerced(const Schema& schema, const std::string& declared, const std::string& told) {
  const auto document = parse("query (" + declared + ") { now }");
  const auto value = json::parse(told);
  try {
    const auto variables = coerce_variables(schema, document.operations.front(), &value);
    json::Object members;
    for (const auto& [name, member] : variables) members.emplace_back(name, member);
    json::Value whole;
    whole.data = std::move(members);
    std::string out;
    json::write(out, whole);
    return out;
  } catch (const Error& error) {
    return std::string("bad: ") + error.what();
  }
}

int check_variables(const Schema& schema, const std::vector<Case>& cases) {
  int failed = 0;
  for (const auto& one : cases) {
    const auto got = coerced(schema, one.parts[0], one.parts[1]);
    const auto& wanted = one.parts[2];
    const bool good = wanted.starts_with("bad: ")
                          ? got.starts_with("bad: ") && got.find(wanted.substr(5)) != std::string::npos
                          : got == wanted;
    if (good) continue;
    ++failed;
    std::cout << "variables.txt:" << one.line << ": wanted " << wanted << ", got " << got << "\n";
  }
  return failed;
}

// Each rule has cases on both sides, and leaving it out is noticed.
int check_mutations(const Schema& schema, const std::vector<Case>& cases) {
  int failed = 0;
  for (std::size_t i = 0; i < kRules; ++i) {
    RuleSet left_out;
    left_out.set(i);
    const auto noticed = std::count_if(cases.begin(), cases.end(), [&](const Case& one) {
      return verdict(schema, unescaped(one.parts[1]), left_out) != names_in(one.parts[0]);
    });
    std::cout << kRuleNames[i].section << ' ' << kRuleNames[i].name << ": " << noticed << " cases notice\n";
    failed += noticed == 0 ? 1 : 0;
  }
  return failed;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2) return 2;
  const std::string folder = argv[1];
  const Schema schema(read_file(folder + "/courier.graphql"));
  const auto documents = read_cases(folder + "/documents.txt", 2);
  if (argc > 2) return check_mutations(schema, documents) == 0 ? 0 : 1;
  const auto schemas = read_cases(folder + "/schemas.txt", 2);
  const auto variables = read_cases(folder + "/variables.txt", 3);
  const int failed =
      check_documents(schema, documents) + check_schemas(schemas) + check_variables(schema, variables);
  std::cout << documents.size() << " documents, " << schemas.size() << " schemas, " << variables.size()
            << " sets of variables: " << failed << " wrong\n";
  return failed == 0 && documents.size() >= 400 ? 0 : 1;
}
