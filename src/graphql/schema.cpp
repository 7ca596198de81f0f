#include "graphql/schema.h"

#include <algorithm>

#include "graphql/schema_builder.h"

namespace cranemux::graphql {
namespace {

template <typename Item>
const Item* named(const std::vector<Item>& items, std::string_view name) {
  for (const auto& item : items) {
    if (item.name == name) return &item;
  }
  return nullptr;
}

std::string lines_of(const std::vector<SchemaFault>& faults) {
  std::string out;
  for (const auto& fault : faults) {
    if (!out.empty()) out += '\n';
    if (fault.at.line > 0) {
      out += std::to_string(fault.at.line) + ':' + std::to_string(fault.at.column) + ": ";
    }
    out += fault.text;
  }
  return out;
}

}  // namespace

std::string to_text(const TypeUse& use) {
  if (use.required()) return to_text(use.optional()) + "!";
  return use.list() ? "[" + to_text(use.items()) + "]" : std::string(use.named->name);
}

const Input* Field::argument(std::string_view wanted) const { return named(arguments, wanted); }
const Input* DirectiveUse::argument(std::string_view wanted) const { return named(arguments, wanted); }
const EnumValue* Type::value(std::string_view wanted) const { return named(values, wanted); }

const Field* Type::field(std::string_view wanted) const {
  const auto at = field_at.find(wanted);
  return at == field_at.end() ? nullptr : &fields[at->second];
}

const Input* Type::input_field(std::string_view wanted) const {
  const auto at = input_at.find(wanted);
  return at == input_at.end() ? nullptr : &inputs[at->second];
}

bool Type::may_be(const Type& object) const {
  return std::binary_search(possible.begin(), possible.end(), &object, std::less<>());
}

bool overlap(const Type& a, const Type& b) {
  if (&a == &b) return true;
  const auto& few = a.possible.size() < b.possible.size() ? a : b;
  const auto& many = &few == &a ? b : a;
  return std::any_of(few.possible.begin(), few.possible.end(),
                     [&](const Type* object) { return many.may_be(*object); });
}

SchemaError::SchemaError(std::vector<SchemaFault> faults_)
    : std::runtime_error(lines_of(faults_)), faults(std::move(faults_)) {}

Schema::Schema(std::string text, const std::vector<std::string>& booking_fields) {
  SchemaBuilder(*this).build(std::move(text), booking_fields);
}

const Type* Schema::type(std::string_view name) const {
  const auto at = type_at_.find(name);
  return at == type_at_.end() ? nullptr : at->second;
}

const DirectiveUse* Schema::directive(std::string_view name) const {
  const auto at = directives_.find(name);
  return at == directives_.end() ? nullptr : &at->second;
}

const Field* Schema::field(const Type& parent, std::string_view name) const {
  if (const auto* own = parent.field(name)) return own;
  if (!name.starts_with("__")) return nullptr;
  if (name == "__typename") return &typename_field_;
  if (&parent != root(OperationKind::query)) return nullptr;
  return name == "__schema" ? &schema_field_ : name == "__type" ? &type_field_ : nullptr;
}

std::optional<TypeUse> Schema::resolve(const TypeRef& ref) const {
  TypeUse out;
  if (ref.items) {
    const auto items = resolve(*ref.items);
    if (!items) return std::nullopt;
    out = {items->named, items->around << 2U | TypeUse::kList};
  } else {
    out.named = type(ref.name);
    if (!out.named) return std::nullopt;
  }
  if (ref.required) out.around = out.around << 2U | TypeUse::kRequired;
  return out;
}

}  // namespace cranemux::graphql
