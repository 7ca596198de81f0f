// What a GraphQL document says, as written (specification of October 2021, sections 2 and 3). Names and
// values are views: a document keeps the text that they point into.
#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <memory_resource>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cranemux::graphql {

struct Place {  // from 1; columns count bytes
  std::uint32_t line = 0, column = 0;
  bool operator==(const Place&) const = default;
};

// Items that lie together in their document's arena.
template <typename Item>
class List {
 public:
  List() = default;
  List(const Item* first, std::size_t size) : first_(first), size_(size) {}
  const Item* begin() const { return first_; }
  const Item* end() const { return first_ + size_; }
  std::size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }
  const Item& front() const { return *first_; }
  const Item& operator[](std::size_t i) const { return first_[i]; }

 private:
  const Item* first_ = nullptr;
  std::size_t size_ = 0;
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
  List<Value> items;
  List<Argument> members;
};
struct Argument {  // or an input object's field
  std::string_view name;
  Value value;
  Place at;
};
struct Directive {
  std::string_view name;
  List<Argument> arguments;
  Place at;
};

struct TypeRef {
  std::string_view name;           // of a list: empty
  const TypeRef* items = nullptr;  // of a list
  bool required = false;
  Place at;
};

struct Field;
struct Type;
struct Fragment;
struct SpreadFragment {  // a fragment, and how often it is spread
  const Fragment* fragment = nullptr;
  std::size_t spreads = 0;
};
enum class SelectionKind : std::uint8_t { field, spread, inlined };
struct Selection {
  SelectionKind kind = SelectionKind::field;
  std::string_view alias, name;  // a spread's fragment; an inline fragment's type condition, or empty
  List<Argument> arguments;
  List<Directive> directives;
  List<Selection> selections;
  Place at;
  // What the validator found for it in the schema, once: a field and the type that it is selected on, or an
  // inline fragment's type. None of a document that has not been checked.
  mutable const Field* field = nullptr;
  mutable const Type* type = nullptr;
  // Of a spread, where its fragment exists: found once, by the document's index, which must be there still.
  mutable const SpreadFragment* spread = nullptr;
  std::string_view key() const { return alias.empty() ? name : alias; }
};

enum class OperationKind : std::uint8_t { query, mutation, subscription };
constexpr std::string_view kOperationNames[] = {"query", "mutation", "subscription"};
inline std::string_view name_of(OperationKind kind) { return kOperationNames[static_cast<int>(kind)]; }

struct VariableDefinition {
  std::string_view name;
  TypeRef type;
  std::optional<Value> absent;  // its default
  List<Directive> directives;
  Place at;
};
struct Operation {
  OperationKind kind = OperationKind::query;
  std::string_view name;
  std::vector<VariableDefinition> variables;
  List<Directive> directives;
  List<Selection> selections;
  Place at;
};
struct Fragment {
  std::string_view name, condition;
  List<Directive> directives;
  List<Selection> selections;
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
  List<Directive> directives;
  Place at;
};
struct FieldDefinition {
  std::string_view description, name;
  std::vector<InputDefinition> arguments;
  TypeRef type;
  List<Directive> directives;
  Place at;
};
struct EnumValueDefinition {
  std::string_view description, name;
  List<Directive> directives;
  Place at;
};
enum class TypeKind : std::uint8_t { scalar, object, interface, union_of, enumeration, input };
struct TypeDefinition {
  TypeKind kind = TypeKind::scalar;
  bool extension = false;
  std::string_view description, name;
  std::vector<Named> interfaces, members;  // `implements`; a union's types
  List<Directive> directives;
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
  List<Directive> directives;
  std::vector<std::pair<OperationKind, Named>> roots;
  Place at;
};

// What the views and lists of a document point into.
struct Memory {
  // A usual document takes some ten times its text: one allocation, or a few.
  explicit Memory(std::string document) : text(std::move(document)), arena(text.size() * 10 + 256) {}
  std::string text;
  std::list<std::string> resolved;  // strings whose escapes are not the text's own bytes
  std::pmr::monotonic_buffer_resource arena;
};

struct Document {
  std::shared_ptr<const Memory> memory;
  std::vector<Operation> operations;
  std::vector<Fragment> fragments;
  std::vector<TypeDefinition> types;
  std::vector<DirectiveDefinition> directives;
  std::vector<SchemaDefinition> schemas;
};

}  // namespace cranemux::graphql
