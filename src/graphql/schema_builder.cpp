#include "graphql/schema_builder.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "graphql/built_in.h"
#include "graphql/parser.h"

namespace cranemux::graphql {
namespace {

constexpr std::size_t kMostFaults = 50;

const Directive* directive_named(const List<Directive>& directives, std::string_view name) {
  for (const auto& directive : directives) {
    if (directive.name == name) return &directive;
  }
  return nullptr;
}

const Value* argument_named(const Directive& directive, std::string_view name) {
  for (const auto& argument : directive.arguments) {
    if (argument.name == name) return &argument.value;
  }
  return nullptr;
}

std::vector<std::string_view> texts_of(const Value* value) {
  std::vector<std::string_view> out;
  if (!value) return out;
  if (value->kind == ValueKind::string) out.push_back(value->text);
  for (const auto& item : value->items) out.push_back(item.text);
  return out;
}

Form form_of(std::string_view scalar) {
  constexpr std::pair<std::string_view, Form> kForms[] = {{"Int", Form::integer},
                                                          {"Float", Form::real},
                                                          {"String", Form::string},
                                                          {"Boolean", Form::boolean},
                                                          {"ID", Form::id}};
  for (const auto& [name, form] : kForms) {
    if (name == scalar) return form;
  }
  return Form::any;
}

Field* field_of(Type& type, std::string_view name) {
  const auto at = type.field_at.find(name);
  return at == type.field_at.end() ? nullptr : &type.fields[at->second];
}

constexpr const char* kKindWords[] = {"scalar", "type", "interface", "union", "enum", "input"};

}  // namespace

void SchemaBuilder::fault(Place at, const std::string& text) {
  if (faults_.size() < kMostFaults) faults_.push_back({at, text});
}

void SchemaBuilder::build(std::string text, const std::vector<std::string>& booking_fields) {
  schema_.documents_.reserve(3);  // views point into them
  try {
    schema_.documents_.push_back(parse_schema(kBuiltIn));
    schema_.documents_.push_back(parse_schema(std::move(text)));
    schema_.documents_.push_back(parse_schema(kCostDirectives));
  } catch (const Error& error) {
    throw SchemaError({{error.at, error.what()}});
  }
  const auto& built_in = schema_.documents_[0];
  const auto& own = schema_.documents_[1];
  auto& costs = schema_.documents_[2].directives;
  std::erase_if(costs, [&](const DirectiveDefinition& directive) {
    return std::any_of(own.directives.begin(), own.directives.end(),
                       [&](const auto& mine) { return mine.name == directive.name; });
  });
  for (const auto& operation : own.operations) {
    fault(operation.at, "an operation has no place in a schema");
  }
  for (const auto& fragment : own.fragments) fault(fragment.at, "a fragment has no place in a schema");
  for (const auto& document : schema_.documents_) declare(document, &document != &own);
  for (const auto& document : schema_.documents_) fill(document);
  for (const auto& document : schema_.documents_) {
    for (const auto& directive : document.directives) add_directive(directive, &document == &built_in);
  }
  set_roots();
  set_possible();
  mark_named_bookings(booking_fields);
  share_bookings();
  set_meta_fields();
  check();
  if (!faults_.empty()) throw SchemaError(std::move(faults_));
}

void SchemaBuilder::declare(const Document& document, bool built_in) {
  for (const auto& type : document.types) declare_type(type, built_in);
  for (const auto& type : document.types) {
    if (!type.extension) continue;
    const auto found = definitions_.find(type.name);
    const std::string name(type.name);
    if (found == definitions_.end()) {
      fault(type.at, "'" + name + "' is extended and nowhere defined");
    } else if (found->second.front()->kind != type.kind) {
      const auto* word = kKindWords[static_cast<int>(found->second.front()->kind)];
      fault(type.at, "'" + name + "' is a " + word + ": write 'extend " + word + "'");
    } else {
      found->second.push_back(&type);
    }
  }
  for (const auto& schema : document.schemas) roots_.push_back(&schema);
}

void SchemaBuilder::declare_type(const TypeDefinition& definition, bool built_in) {
  if (definition.extension) return;
  auto& known = definitions_[definition.name];
  if (!known.empty()) {
    fault(definition.at, "there are two types '" + std::string(definition.name) + "'");
    return;
  }
  known.push_back(&definition);
  auto& type = schema_.types_[definition.name];
  type = std::make_unique<Type>();
  type->kind = definition.kind;
  type->name = definition.name;
  type->description = definition.description;
  type->built_in = built_in;
  type->at = definition.at;
  if (definition.kind == TypeKind::scalar) type->form = form_of(definition.name);
  schema_.type_at_[definition.name] = type.get();
}

void SchemaBuilder::fill(const Document& document) {
  for (const auto& definition : document.types) {
    const auto& parts = definitions_[definition.name];
    if (std::find(parts.begin(), parts.end(), &definition) == parts.end()) continue;
    fill_type(*schema_.types_.at(definition.name), definition);
  }
}

void SchemaBuilder::fill_type(Type& type, const TypeDefinition& definition) {
  const std::string name(type.name);
  if (const auto told = weight(definition.directives)) type.weight = told;
  if (const auto* specified = directive_named(definition.directives, "specifiedBy")) {
    if (const auto* url = argument_named(*specified, "url")) type.specified_by = url->text;
  }
  for (const auto& interface : definition.interfaces) {
    const auto* found = schema_.type(interface.name);
    if (!found || found->kind != TypeKind::interface) {
      fault(interface.at,
            "'" + name + "' implements '" + std::string(interface.name) + "', which is no interface");
    } else if (std::find(type.interfaces.begin(), type.interfaces.end(), found) != type.interfaces.end()) {
      fault(interface.at, "'" + name + "' names the interface '" + std::string(interface.name) + "' twice");
    } else {
      type.interfaces.push_back(found);
    }
  }
  for (const auto& member : definition.members) {
    const auto* found = schema_.type(member.name);
    if (!found || found->kind != TypeKind::object) {
      fault(member.at,
            "the union '" + name + "' holds '" + std::string(member.name) + "', which is no object type");
    } else if (std::find(type.possible.begin(), type.possible.end(), found) != type.possible.end()) {
      fault(member.at, "the union '" + name + "' names '" + std::string(member.name) + "' twice");
    } else {
      type.possible.push_back(found);
    }
  }
  for (const auto& field : definition.fields) add_field(type, field);
  for (const auto& input : definition.inputs) {
    const auto had = type.inputs.size();
    add_input(type.inputs, input, name + "." + std::string(input.name));
    if (type.inputs.size() > had) type.input_at.emplace(input.name, had);
  }
  for (const auto& value : definition.values) {
    if (type.value(value.name)) {
      fault(value.at, "the enum '" + name + "' has the value '" + std::string(value.name) + "' twice");
      continue;
    }
    type.values.push_back({value.name, value.description, deprecated(value.directives)});
  }
}

void SchemaBuilder::add_field(Type& type, const FieldDefinition& definition) {
  const auto what = std::string(type.name) + "." + std::string(definition.name);
  if (type.field(definition.name)) {
    fault(definition.at, "there are two fields '" + what + "'");
    return;
  }
  Field field;
  field.name = definition.name;
  field.description = definition.description;
  field.at = definition.at;
  for (const auto& argument : definition.arguments) {
    add_input(field.arguments, argument, what + "(" + std::string(argument.name) + ":)");
  }
  const auto use = use_of(definition.type, what);
  if (!use) return;
  field.type = *use;
  field.weight = weight(definition.directives);
  field.list = list_size(definition.directives);
  field.booking = directive_named(definition.directives, "booking") != nullptr;
  field.deprecated = deprecated(definition.directives);
  type.field_at.emplace(field.name, type.fields.size());
  type.fields.push_back(std::move(field));
}

void SchemaBuilder::add_input(std::vector<Input>& into, const InputDefinition& definition,
                              const std::string& what) {
  for (const auto& other : into) {
    if (other.name == definition.name) {
      fault(definition.at, "there are two inputs '" + what + "'");
      return;
    }
  }
  const auto use = use_of(definition.type, what);
  if (!use) return;
  Input input;
  input.name = definition.name;
  input.description = definition.description;
  input.type = *use;
  if (definition.absent) input.absent = &*definition.absent;
  input.weight = weight(definition.directives);
  input.deprecated = deprecated(definition.directives);
  input.at = definition.at;
  into.push_back(std::move(input));
}

void SchemaBuilder::add_directive(const DirectiveDefinition& definition, bool built_in) {
  const std::string name(definition.name);
  if (schema_.directives_.count(definition.name) > 0) {
    fault(definition.at, "there are two directives '@" + name + "'");
    return;
  }
  DirectiveUse directive;
  directive.name = definition.name;
  directive.description = definition.description;
  directive.repeatable = definition.repeatable;
  directive.built_in = built_in;
  for (const auto& argument : definition.arguments) {
    add_input(directive.arguments, argument, "@" + name + "(" + std::string(argument.name) + ":)");
  }
  const auto* places = schema_.type("__DirectiveLocation");
  for (const auto& location : definition.locations) {
    if (!places->value(location.name)) {
      fault(location.at, "'" + std::string(location.name) + "' is no place of a directive" +
                             did_you_mean(location.name, places->values));
    }
    directive.locations.insert(location.name);
  }
  directive_at_[definition.name] = definition.at;
  schema_.directives_.emplace(definition.name, std::move(directive));
}

std::optional<TypeUse> SchemaBuilder::use_of(const TypeRef& ref, const std::string& what) {
  const auto use = schema_.resolve(ref);
  if (!use) {
    const auto* base = &ref;
    while (base->items) base = base->items;
    std::vector<Named> names;
    for (const auto& [name, type] : schema_.types_) names.push_back({name, {}});
    fault(ref.at, "'" + what + "' is of an unknown type '" + std::string(base->name) + "'" +
                      did_you_mean(base->name, names));
  }
  return use;
}

std::optional<std::string_view> SchemaBuilder::deprecated(const List<Directive>& directives) const {
  const auto* directive = directive_named(directives, "deprecated");
  if (!directive) return std::nullopt;
  const auto* reason = argument_named(*directive, "reason");
  return reason && reason->kind == ValueKind::string ? reason->text : "No longer supported";
}

std::optional<double> SchemaBuilder::weight(const List<Directive>& directives) {
  const auto* directive = directive_named(directives, "cost");
  const auto* told = directive ? argument_named(*directive, "weight") : nullptr;
  if (!told) return std::nullopt;
  double out = 0;
  const auto* end = told->text.data() + told->text.size();
  if (told->kind == ValueKind::string || told->kind == ValueKind::integer || told->kind == ValueKind::real) {
    const auto got = std::from_chars(told->text.data(), end, out);
    if (got.ec == std::errc{} && got.ptr == end && std::isfinite(out) && std::abs(out) <= 1e9) return out;
  }
  fault(told->at, "@cost(weight:) must be a number in quotes, as in \"2.5\"");
  return std::nullopt;
}

std::optional<ListSize> SchemaBuilder::list_size(const List<Directive>& directives) {
  const auto* directive = directive_named(directives, "listSize");
  if (!directive) return std::nullopt;
  ListSize out;
  if (const auto* assumed = argument_named(*directive, "assumedSize");
      assumed && assumed->kind == ValueKind::integer) {
    double size = 0;
    std::from_chars(assumed->text.data(), assumed->text.data() + assumed->text.size(), size);
    if (size < 0) fault(assumed->at, "@listSize(assumedSize:) cannot be negative");
    out.assumed = size;
  }
  out.slicing = texts_of(argument_named(*directive, "slicingArguments"));
  out.sized = texts_of(argument_named(*directive, "sizedFields"));
  const auto* one = argument_named(*directive, "requireOneSlicingArgument");
  out.require_one = !one || one->text != "false";
  return out;
}

void SchemaBuilder::set_roots() {
  bool told = false;
  std::set<OperationKind> seen;
  for (const auto* schema : roots_) {
    if (!schema->extension && std::exchange(told, true))
      fault(schema->at, "there are two schema definitions");
    if (!schema->description.empty()) schema_.description_ = schema->description;
    for (const auto& [kind, named] : schema->roots) {
      const std::string word(name_of(kind));
      if (!seen.insert(kind).second) fault(named.at, "the schema names the type of its " + word + " twice");
      const auto* type = schema_.type(named.name);
      if (!type || type->kind != TypeKind::object) {
        fault(named.at, "the " + word + " type '" + std::string(named.name) + "' must be an object type");
        continue;
      }
      schema_.roots_[static_cast<std::size_t>(kind)] = type;
    }
  }
  if (!told) {
    constexpr std::string_view kUsual[] = {"Query", "Mutation", "Subscription"};
    for (std::size_t i = 0; i < 3; ++i) {
      const auto* type = schema_.type(kUsual[i]);
      if (!schema_.roots_[i] && type && type->kind == TypeKind::object) schema_.roots_[i] = type;
    }
  }
  if (!schema_.roots_[0])
    fault({}, "the schema has no query type: define 'type Query', or name one in 'schema { query: … }'");
  for (std::size_t i = 0; i < 3; ++i) {
    for (std::size_t j = 0; j < i; ++j) {
      if (schema_.roots_[i] && schema_.roots_[i] == schema_.roots_[j]) {
        fault(schema_.roots_[i]->at,
              "'" + std::string(schema_.roots_[i]->name) + "' is the type of two kinds of operation");
      }
    }
  }
}

void SchemaBuilder::set_possible() {
  for (auto& [name, type] : schema_.types_) {
    if (type->kind != TypeKind::object) continue;
    type->possible = {type.get()};
    for (const auto* interface : type->interfaces) {
      schema_.types_.at(interface->name)->possible.push_back(type.get());
    }
  }
  for (auto& [name, type] : schema_.types_)
    std::sort(type->possible.begin(), type->possible.end(), std::less<>());
}

void SchemaBuilder::mark_named_bookings(const std::vector<std::string>& names) {
  for (const auto& name : names) {
    const auto dot = std::min(name.find('.'), name.size());
    const auto type = schema_.types_.find(std::string_view(name).substr(0, dot));
    auto* field = type == schema_.types_.end() || dot == name.size()
                      ? nullptr
                      : field_of(*type->second, std::string_view(name).substr(dot + 1));
    if (field) {
      field->booking = true;
    } else {
      fault({}, "booking_fields: there is no field '" + name + "'");
    }
  }
}

// A booking is one by whichever of its types it is asked for.
void SchemaBuilder::share_bookings() {
  const auto share = [](Type& with, const std::vector<const Type*>& from) {
    for (auto& field : with.fields) {
      field.booking = field.booking || std::any_of(from.begin(), from.end(), [&](const Type* type) {
                        const auto* same = type->field(field.name);
                        return same && same->booking;
                      });
    }
  };
  for (auto& [name, type] : schema_.types_) {
    if (type->kind == TypeKind::object) share(*type, type->interfaces);
  }
  for (auto& [name, type] : schema_.types_) {
    if (type->kind == TypeKind::interface) share(*type, type->possible);
  }
}

void SchemaBuilder::set_meta_fields() {
  const auto use = [&](const char* name, bool required) {
    return TypeUse{schema_.type(name), required ? TypeUse::kRequired : 0};
  };
  schema_.typename_field_.name = "__typename";
  schema_.typename_field_.type = use("String", true);
  schema_.schema_field_.name = "__schema";
  schema_.schema_field_.type = use("__Schema", true);
  schema_.type_field_.name = "__type";
  schema_.type_field_.type = use("__Type", false);
  Input name;
  name.name = "name";
  name.type = use("String", true);
  schema_.type_field_.arguments = {name};
}

}  // namespace cranemux::graphql
