// What a GraphQL document says, as written (specification of October 2021, sections 2 and 3). Names and
// values are views: a document keeps the text that they point into.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cranemux::graphql {

struct Place {  // from 1; columns count bytes
  std::uint32_t line = 0, column = 0;
  bool operator==(const Place&) const = default;
};

enum class ValueKind : std::uint8_t {
  variable,
  integer,
  real,
  string,
  boolean,
  null,
  enumeration,
  list,
  object
};
struct Argument;
struct Value {
  ValueKind kind = ValueKind::null;
  Place at;
  std::string_view text;  // a name without `$`, digits, a string's content with its escapes resolved
  std::vector<Value> items;
  std::vector<Argument> members;
};
struct Argument {  // or an input object's field
  std::string_view name;
  Value value;
  Place at;
};
struct Directive {
  std::string_view name;
  std::vector<Argument> arguments;
  Place at;
};

struct TypeRef {
  std::string_view name;           // of a list: empty
  std::shared_ptr<TypeRef> items;  // of a list
  bool required = false;
  Place at;
};

enum class SelectionKind : std::uint8_t { field, spread, inlined };
struct Selection {
  SelectionKind kind = SelectionKind::field;
  std::string_view alias, name;  // a spread's fragment; an inline fragment's type condition, or empty
  std::vector<Argument> arguments;
  std::vector<Directive> directives;
  std::vector<Selection> selections;
  Place at;
  std::string_view key() const { return alias.empty() ? name : alias; }
};

enum class OperationKind : std::uint8_t { query, mutation, subscription };
constexpr std::string_view kOperationNames[] = {"query", "mutation", "subscription"};
inline std::string_view name_of(OperationKind kind) { return kOperationNames[static_cast<int>(kind)]; }

struct VariableDefinition {
  std::string_view name;
  TypeRef type;
  std::optional<Value> absent;  // its default
  std::vector<Directive> directives;
  Place at;
};
struct Operation {
  OperationKind kind = OperationKind::query;
  std::string_view name;
  std::vector<VariableDefinition> variables;
  std::vector<Directive> directives;
  std::vector<Selection> selections;
  Place at;
};
struct Fragment {
  std::string_view name, condition;
  std::vector<Directive> directives;
  std::vector<Selection> selections;
  Place at, condition_at;
};

// ---- the schema language (section 3) ----

struct Named {  // a reference by name
  std::string_view name;
  Place at;
};
struct InputDefinition {  // an argument's, or an input object's field's
  std::string_view description, name;
  TypeRef type;
  std::optional<Value> absent;
  std::vector<Directive> directives;
  Place at;
};
struct FieldDefinition {
  std::string_view description, name;
  std::vector<InputDefinition> arguments;
  TypeRef type;
  std::vector<Directive> directives;
  Place at;
};
struct EnumValueDefinition {
  std::string_view description, name;
  std::vector<Directive> directives;
  Place at;
};
enum class TypeKind : std::uint8_t { scalar, object, interface, union_of, enumeration, input };
struct TypeDefinition {
  TypeKind kind = TypeKind::scalar;
  bool extension = false;
  std::string_view description, name;
  std::vector<Named> interfaces, members;  // `implements`; a union's types
  std::vector<Directive> directives;
  std::vector<FieldDefinition> fields;
  std::vector<InputDefinition> inputs;
  std::vector<EnumValueDefinition> values;
  Place at;
};
struct DirectiveDefinition {
  std::string_view description, name;
  std::vector<InputDefinition> arguments;
  bool repeatable = false;
  std::vector<Named> locations;
  Place at;
};
struct SchemaDefinition {
  bool extension = false;
  std::string_view description;
  std::vector<Directive> directives;
  std::vector<std::pair<OperationKind, Named>> roots;
  Place at;
};

struct Document {
  std::shared_ptr<const std::string> text;
  std::shared_ptr<std::deque<std::string>> resolved;  // strings whose escapes are not the text's own bytes
  std::vector<Operation> operations;
  std::vector<Fragment> fragments;
  std::vector<TypeDefinition> types;
  std::vector<DirectiveDefinition> directives;
  std::vector<SchemaDefinition> schemas;
};

}  // namespace cranemux::graphql
