// Executable GraphQL documents: a parser with bounds on depth and tokens.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "json/json.h"

namespace cranemux::graphql {

struct Error : std::runtime_error {  // a request error: what is wrong with the document or its variables
  Error(std::string code_, const std::string& what) : std::runtime_error(what), code(std::move(code_)) {}
  std::string code;
};

struct Limits {
  std::size_t bytes = 32 * 1024, depth = 16, tokens = 4000, batch = 16;
  std::size_t fields = 10'000;  // visited when priced, with fragments spread
};

struct Argument;
struct Literal {  // a value as written; variables are resolved later
  enum class Kind { scalar, variable, list, object } kind = Kind::scalar;
  json::Value scalar;  // enum values are texts
  std::string variable;
  std::vector<Literal> items;
  std::vector<Argument> members;
};
struct Argument {
  std::string name;
  Literal value;
};
struct Directive {
  std::string name;
  std::vector<Argument> arguments;
};
struct Selection {
  enum class Kind { field, spread, inlined } kind = Kind::field;
  std::string alias, name;  // a spread's fragment; an inline fragment's type condition, if any
  std::vector<Argument> arguments;
  std::vector<Directive> directives;
  std::vector<Selection> selections;
  const std::string& key() const { return alias.empty() ? name : alias; }
};
struct Type {
  std::string name;             // of a list: empty
  std::shared_ptr<Type> items;  // of a list
  bool required = false;
};
struct Variable {
  std::string name;
  Type type;
  std::optional<Literal> absent;  // its default
};
struct Operation {
  std::string type = "query", name;
  std::vector<Variable> variables;
  std::vector<Directive> directives;
  std::vector<Selection> selections;
};
struct Fragment {
  std::string condition;
  std::vector<Directive> directives;
  std::vector<Selection> selections;
};
struct Document {
  std::vector<Operation> operations;
  std::map<std::string, Fragment> fragments;
};

Document parse(std::string_view text, const Limits& limits);  // throws Error

// The operation that `name` picks; the only one where it is empty.
const Operation& pick(const Document& document, const std::string& name);

using Variables = std::map<std::string, json::Value>;
// The values told for an operation's variables, with defaults, checked against the types it declares.
Variables coerce(const Operation& operation, const json::Value* told);
// A literal with its variables put in; nothing where a variable has no value.
std::optional<json::Value> resolve(const Literal& literal, const Variables& variables);

}  // namespace cranemux::graphql
