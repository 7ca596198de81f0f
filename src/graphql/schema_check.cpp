// What a schema must keep (specification of October 2021, section 3).
#include <algorithm>

#include "graphql/parser.h"
#include "graphql/schema_builder.h"

namespace cranemux::graphql {
namespace {

std::string quoted(std::string_view name) { return "'" + std::string(name) + "'"; }

// May a field of type `have` stand where an interface has `want` (section 3.6.1)?
bool is_sub_type(const TypeUse& have, const TypeUse& want) {
  if (want.required()) return have.required() && is_sub_type(have.optional(), want.optional());
  const auto mine = have.optional();
  if (want.list() != mine.list()) return false;
  if (want.list()) return is_sub_type(mine.items(), want.items());
  if (mine.named == want.named) return true;
  if (!want.named->abstract()) return false;
  const auto& interfaces = mine.named->interfaces;
  return (mine.named->kind == TypeKind::object && want.named->may_be(*mine.named)) ||
         std::find(interfaces.begin(), interfaces.end(), want.named) != interfaces.end();
}

}  // namespace

void SchemaBuilder::check() {
  for (const auto& [name, type] : schema_.types_) check_type(*type);
  check_input_cycles();
  for (const auto& [name, directive] : schema_.directives_) check_directive_definition(directive);
  for (const auto& document : schema_.documents_) check_used_directives(document);
}

void SchemaBuilder::check_name(std::string_view name, Place at, const char* what) {
  if (name.starts_with("__")) {
    fault(at, std::string(what) + " " + quoted(name) +
                  " begins with two underscores, which are the specification's own");
  }
}

void SchemaBuilder::check_type(const Type& type) {
  if (!type.built_in) check_name(type.name, type.at, "the type");
  switch (type.kind) {
    case TypeKind::scalar:
      return;
    case TypeKind::object:
    case TypeKind::interface:
      return check_object(type);
    case TypeKind::union_of:
      if (type.possible.empty()) fault(type.at, "the union " + quoted(type.name) + " holds no type");
      return;
    case TypeKind::enumeration:
      if (type.values.empty()) fault(type.at, "the enum " + quoted(type.name) + " has no value");
      return;
    case TypeKind::input:
      if (type.inputs.empty()) fault(type.at, "the input type " + quoted(type.name) + " has no field");
      return check_inputs(type.inputs, std::string(type.name), true);
  }
}

void SchemaBuilder::check_object(const Type& type) {
  if (type.fields.empty()) fault(type.at, quoted(type.name) + " has no field");
  for (const auto& field : type.fields) {
    const auto what = std::string(type.name) + "." + std::string(field.name);
    check_name(field.name, field.at, "the field");
    if (field.type.named->kind == TypeKind::input) {
      fault(field.at, quoted(what) + " answers with the input type " + quoted(field.type.named->name) +
                          ": use an object type");
    }
    check_inputs(field.arguments, what, false);
  }
  check_interfaces(type);
  check_costs(type);
}

void SchemaBuilder::check_interfaces(const Type& type) {
  for (const auto* interface : type.interfaces) {
    if (interface == &type) {
      fault(type.at, quoted(type.name) + " implements itself");
      continue;
    }
    for (const auto* above : interface->interfaces) {
      if (above == &type) {
        fault(type.at, quoted(type.name) + " and " + quoted(interface->name) + " implement each other");
      } else if (std::find(type.interfaces.begin(), type.interfaces.end(), above) == type.interfaces.end()) {
        fault(type.at, quoted(type.name) + " implements " + quoted(interface->name) +
                           ", so it must implement " + quoted(above->name) + ", too");
      }
    }
    check_implements(type, *interface);
  }
}

void SchemaBuilder::check_implements(const Type& type, const Type& interface) {
  for (const auto& wanted : interface.fields) check_field_of(type, interface, wanted);
}

void SchemaBuilder::check_field_of(const Type& type, const Type& interface, const Field& wanted) {
  const auto* field = type.field(wanted.name);
  const auto what = std::string(type.name) + "." + std::string(wanted.name);
  if (!field) {
    fault(type.at, quoted(type.name) + " lacks the field " + quoted(wanted.name) + " of its interface " +
                       quoted(interface.name));
    return;
  }
  if (!is_sub_type(field->type, wanted.type)) {
    fault(field->at, quoted(what) + " is " + to_text(field->type) + ", which is no " + to_text(wanted.type) +
                         " as " + quoted(interface.name) + " has it");
  }
  for (const auto& argument : wanted.arguments) {
    const auto* own = field->argument(argument.name);
    if (!own) {
      fault(field->at,
            quoted(what) + " lacks the argument " + quoted(argument.name) + " of " + quoted(interface.name));
    } else if (!(own->type == argument.type)) {
      fault(own->at, quoted(what) + ": the argument " + quoted(argument.name) + " must be " +
                         to_text(argument.type) + " as in " + quoted(interface.name));
    }
  }
  for (const auto& own : field->arguments) {
    if (own.needed() && !wanted.argument(own.name)) {
      fault(own.at, quoted(what) + ": the argument " + quoted(own.name) + " is not of " +
                        quoted(interface.name) + ", so it cannot be required");
    }
  }
}

void SchemaBuilder::check_inputs(const std::vector<Input>& inputs, const std::string& what, bool of_object) {
  for (const auto& input : inputs) {
    const auto whole =
        of_object ? what + "." + std::string(input.name) : what + "(" + std::string(input.name) + ":)";
    check_name(input.name, input.at, of_object ? "the input field" : "the argument");
    if (!input.type.named->input()) {
      fault(input.at, quoted(whole) + " is of " + quoted(input.type.named->name) +
                          ", which is no input type: use a scalar, an enum or an input type");
    } else if (input.absent) {
      check_literal(*input.absent, input.type, [&](ValueFault, Place at, const std::string& text) {
        fault(at, "the default of " + quoted(whole) + ": " + text);
      });
    }
    if (input.deprecated && input.needed()) {
      fault(input.at, quoted(whole) + " is required, so it cannot be deprecated: give it a default first");
    }
  }
}

// An input type that needs itself could never be written (section 3.10).
void SchemaBuilder::check_input_cycles() {
  std::map<const Type*, int> state;
  for (const auto& [name, type] : schema_.types_) {
    if (type->kind == TypeKind::input) find_cycle(*type, state);
  }
}

bool SchemaBuilder::find_cycle(const Type& type, std::map<const Type*, int>& state) {
  auto& mine = state[&type];
  if (mine == 2) return false;
  if (mine == 1) return true;
  mine = 1;
  for (const auto& input : type.inputs) {
    const bool at_once = input.type.required() && !input.type.list();
    if (at_once && input.type.named->kind == TypeKind::input && find_cycle(*input.type.named, state)) {
      fault(input.at, "the input type " + quoted(type.name) + " needs itself by " + quoted(input.name) +
                          ": leave a '!' out");
    }
  }
  state[&type] = 2;
  return false;
}

void SchemaBuilder::check_directives(const List<Directive>& directives, std::string_view location) {
  std::set<std::string_view> seen;
  for (const auto& directive : directives) {
    const auto name = "@" + std::string(directive.name);
    const auto* known = schema_.directive(directive.name);
    if (!known) {
      fault(directive.at, "the directive " + name + " is not defined");
      continue;
    }
    if (known->locations.count(location) == 0) {
      fault(directive.at, name + " has no place on " + std::string(location));
    }
    if (!known->repeatable && !seen.insert(directive.name).second) {
      fault(directive.at, name + " stands here twice");
    }
    std::set<std::string_view> told;
    for (const auto& argument : directive.arguments) {
      const auto* input = known->argument(argument.name);
      if (!input) {
        fault(argument.at, name + " has no argument " + quoted(argument.name) +
                               did_you_mean(argument.name, known->arguments));
        continue;
      }
      if (!told.insert(argument.name).second)
        fault(argument.at, name + " has the argument " + quoted(argument.name) + " twice");
      check_literal(argument.value, input->type, [&](ValueFault, Place at, const std::string& text) {
        fault(at, name + "(" + std::string(argument.name) + ":): " + text);
      });
    }
    for (const auto& input : known->arguments) {
      if (input.needed() && told.count(input.name) == 0) {
        fault(directive.at, name + " needs the argument " + quoted(input.name));
      }
    }
  }
}

void SchemaBuilder::check_used_inputs(const std::vector<InputDefinition>& inputs, std::string_view location) {
  for (const auto& input : inputs) check_directives(input.directives, location);
}

void SchemaBuilder::check_used_directives(const Document& document) {
  constexpr std::string_view kPlaces[] = {"SCALAR", "OBJECT", "INTERFACE", "UNION", "ENUM", "INPUT_OBJECT"};
  for (const auto& schema : document.schemas) check_directives(schema.directives, "SCHEMA");
  for (const auto& directive : document.directives) {
    check_used_inputs(directive.arguments, "ARGUMENT_DEFINITION");
  }
  for (const auto& type : document.types) {
    check_directives(type.directives, kPlaces[static_cast<int>(type.kind)]);
    for (const auto& field : type.fields) {
      check_directives(field.directives, "FIELD_DEFINITION");
      check_used_inputs(field.arguments, "ARGUMENT_DEFINITION");
    }
    check_used_inputs(type.inputs, "INPUT_FIELD_DEFINITION");
    for (const auto& value : type.values) check_directives(value.directives, "ENUM_VALUE");
  }
}

void SchemaBuilder::check_directive_definition(const DirectiveUse& directive) {
  const auto at = directive_at_[directive.name];
  if (!directive.built_in) check_name(directive.name, at, "the directive");
  check_inputs(directive.arguments, "@" + std::string(directive.name), false);
}

// ---- the cost directives' own demands ----

void SchemaBuilder::check_costs(const Type& type) {
  for (const auto& field : type.fields) {
    if (field.list) check_list_size(type, field);
  }
}

void SchemaBuilder::check_list_size(const Type& type, const Field& field) {
  const auto what = std::string(type.name) + "." + std::string(field.name);
  const auto& list = *field.list;
  if (!field.type.list() && list.sized.empty()) {
    fault(field.at, quoted(what) + " is no list: @listSize needs sizedFields there");
  }
  for (const auto name : list.slicing) {
    const auto* argument = field.argument(name);
    if (!argument) {
      fault(field.at, "@listSize of " + quoted(what) + " slices by an argument " + quoted(name) +
                          " that it does not have" + did_you_mean(name, field.arguments));
    } else if (!argument->type.list() && argument->type.named->form != Form::integer) {
      fault(field.at, "@listSize of " + quoted(what) + " slices by " + quoted(name) +
                          ", which is neither an Int nor a list");
    }
  }
  for (const auto name : list.sized) {
    const auto* sized = field.type.named->field(name);
    if (!sized || !sized->type.list()) {
      fault(field.at, "@listSize of " + quoted(what) + " sizes " + quoted(name) + ", which is no list of " +
                          quoted(field.type.named->name));
    }
  }
  if (list.slicing.empty() && !list.assumed) {
    fault(field.at, "@listSize of " + quoted(what) + " tells no size: give assumedSize or slicingArguments");
  }
}

}  // namespace cranemux::graphql
