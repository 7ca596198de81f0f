// A schema, resolved and checked (specification of October 2021, section 3). Immutable once made; what is
// read of it during a request allocates nothing.
#pragma once

#include <algorithm>
#include <array>
#include <cstring>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "graphql/ast.h"
#include "graphql/fault.h"

namespace cranemux::graphql {

struct Type;

// Of the schema's own names, which mean no harm: their size, first and last eight bytes tell most apart.
struct NameHash {
  std::size_t operator()(std::string_view name) const {
    std::uint64_t first = 0, last = 0;
    const auto part = std::min<std::size_t>(name.size(), sizeof first);
    std::memcpy(&first, name.data(), part);
    std::memcpy(&last, name.data() + name.size() - part, part);
    const auto mixed = (first * 0x9e3779b97f4a7c15ULL) ^ (last * 0xc2b2ae3d27d4eb4fULL) ^ name.size();
    return mixed ^ mixed >> 32U;
  }
};
template <typename Value>
using ByName = std::unordered_map<std::string_view, Value, NameHash>;

// A use of a type: its name and the lists and `!` around it, the outermost first, two bits each.
struct TypeUse {
  const Type* named = nullptr;
  std::uint64_t around = 0;  // room for 15 lists, all required
  static constexpr std::uint64_t kList = 1, kRequired = 2;
  bool required() const { return (around & 3U) == kRequired; }
  TypeUse optional() const { return {named, required() ? around >> 2U : around}; }
  bool list() const { return (optional().around & 3U) == kList; }
  TypeUse items() const { return {named, optional().around >> 2U}; }  // of a list
  bool operator==(const TypeUse&) const = default;
};
std::string to_text(const TypeUse& use);

struct Input {  // an argument, or an input object's field
  std::string_view name, description;
  TypeUse type;
  const Value* absent = nullptr;  // its default
  std::optional<double> weight;   // by @cost
  std::optional<std::string_view> deprecated;
  Place at;
  bool needed() const { return type.required() && !absent; }
};

struct ListSize {  // by @listSize; see cost.h
  std::optional<double> assumed;
  std::vector<std::string_view> slicing, sized;
  bool require_one = true;
};

struct Field {
  std::string_view name, description;
  std::vector<Input> arguments;
  TypeUse type;
  std::optional<double> weight;  // by @cost
  std::optional<ListSize> list;
  // Of the class that is never sent twice: by @booking or by name, here, on an interface of this object, or
  // on an object that may answer for this interface.
  bool booking = false;
  std::optional<std::string_view> deprecated;
  Place at;
  const Input* argument(std::string_view name) const;
};

struct EnumValue {
  std::string_view name, description;
  std::optional<std::string_view> deprecated;
};

enum class Form : std::uint8_t { any, integer, real, string, boolean, id };  // what a scalar's values are
struct Type {
  TypeKind kind = TypeKind::scalar;
  std::string_view name, description;
  std::vector<Field> fields;
  ByName<std::size_t> field_at;
  std::vector<Input> inputs;  // of an input object
  ByName<std::size_t> input_at;
  std::vector<EnumValue> values;
  std::vector<const Type*> interfaces;  // that it implements
  std::vector<const Type*> possible;    // the objects that a value of it may be, sorted by address
  Form form = Form::any;                // of a scalar
  std::optional<std::string_view> specified_by;
  std::optional<double> weight;  // by @cost
  bool built_in = false;
  Place at;

  bool composite() const {
    return kind == TypeKind::object || kind == TypeKind::interface || kind == TypeKind::union_of;
  }
  bool abstract() const { return kind == TypeKind::interface || kind == TypeKind::union_of; }
  bool leaf() const { return kind == TypeKind::scalar || kind == TypeKind::enumeration; }
  bool input() const { return leaf() || kind == TypeKind::input; }
  const Field* field(std::string_view name) const;
  const Input* input_field(std::string_view name) const;
  const EnumValue* value(std::string_view name) const;
  bool may_be(const Type& object) const;  // is that one of its possible objects?
};
bool overlap(const Type& a, const Type& b);  // may a value be of both?

struct DirectiveUse {  // a directive's definition
  std::string_view name, description;
  std::vector<Input> arguments;
  std::set<std::string_view> locations;
  bool repeatable = false, built_in = false;
  const Input* argument(std::string_view name) const;
};

struct SchemaFault {
  Place at;
  std::string text;
};

class Schema {
 public:
  // `booking_fields`: `Type.field` names that book, besides those with @booking. Throws SchemaError with all
  // that is wrong.
  explicit Schema(std::string text, const std::vector<std::string>& booking_fields = {});
  Schema(const Schema&) = delete;  // its types point at one another
  Schema& operator=(const Schema&) = delete;

  const Type* root(OperationKind kind) const { return roots_[static_cast<std::size_t>(kind)]; }
  const Type* type(std::string_view name) const;
  const DirectiveUse* directive(std::string_view name) const;
  // `__schema`, `__type` (of the query root) and `__typename` are fields of no type.
  const Field* field(const Type& parent, std::string_view name) const;
  const std::map<std::string_view, std::unique_ptr<Type>>& types() const { return types_; }
  const std::map<std::string_view, DirectiveUse>& directives() const { return directives_; }
  std::string_view description() const { return description_; }
  std::optional<TypeUse> resolve(const TypeRef& ref) const;  // none: no such type

 private:
  friend class SchemaBuilder;
  std::vector<Document> documents_;  // what all views point into
  std::map<std::string_view, std::unique_ptr<Type>> types_;
  ByName<const Type*> type_at_;
  std::map<std::string_view, DirectiveUse> directives_;
  std::array<const Type*, 3> roots_{};
  std::string_view description_;
  Field schema_field_, type_field_, typename_field_;
};

struct SchemaError : std::runtime_error {  // what() has a line for each fault: `LINE:COLUMN: what is wrong`
  explicit SchemaError(std::vector<SchemaFault> faults_);
  std::vector<SchemaFault> faults;
};

}  // namespace cranemux::graphql
