#include "graphql/values.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "graphql/parser.h"

namespace cranemux::graphql {
namespace {

std::string quoted(std::string_view name) { return "'" + std::string(name) + "'"; }

// A whole number of 32 bits (section 3.5.1).
bool is_int32(std::string_view digits) {
  std::int32_t value = 0;
  const auto got = std::from_chars(digits.data(), digits.data() + digits.size(), value);
  return got.ec == std::errc{} && got.ptr == digits.data() + digits.size();
}

bool is_finite(std::string_view digits) {
  double value = 0;
  const auto got = std::from_chars(digits.data(), digits.data() + digits.size(), value);
  return got.ec == std::errc{} && std::isfinite(value);
}

bool scalar_fits(Form form, const Value& value) {
  const auto kind = value.kind;
  switch (form) {
    case Form::integer:
      return kind == ValueKind::integer && is_int32(value.text);
    case Form::real:
      return (kind == ValueKind::integer || kind == ValueKind::real) && is_finite(value.text);
    case Form::string:
      return kind == ValueKind::string;
    case Form::boolean:
      return kind == ValueKind::boolean;
    case Form::id:
      return kind == ValueKind::string || kind == ValueKind::integer;
    case Form::any:
      return true;
  }
  return false;
}

const char* wanted(Form form) {
  switch (form) {
    case Form::integer:
      return "a whole number of 32 bits";
    case Form::real:
      return "a number";
    case Form::string:
      return "a string in double quotes";
    case Form::boolean:
      return "true or false";
    case Form::id:
      return "a string or a whole number";
    case Form::any:
      break;
  }
  return "a value";
}

class LiteralCheck {
 public:
  explicit LiteralCheck(const ValueReport& report) : report_(report) {}

  void check(const Value& value, const TypeUse& type) {
    if (value.kind == ValueKind::variable) return;
    if (value.kind == ValueKind::null) {
      if (type.required()) wrong(value, type, "null cannot stand here");
      return;
    }
    if (type.list()) return check_list(value, type);
    const auto& named = *type.named;
    if (named.kind == TypeKind::input) return check_object(value, named);
    if (named.kind == TypeKind::enumeration) {
      if (value.kind != ValueKind::enumeration) {
        wrong(value, type, "write one of its values without quotes");
      } else if (!named.value(value.text)) {
        wrong(value, type, "it has no such value" + did_you_mean(value.text, named.values));
      }
    } else if (!scalar_fits(named.form, value)) {
      wrong(value, type, std::string("write ") + wanted(named.form));
    }
  }

 private:
  void wrong(const Value& value, const TypeUse& type, const std::string& what) {
    report_(ValueFault::shape, value.at, shown(value) + " is no " + to_text(type) + ": " + what);
  }
  static std::string shown(const Value& value) {
    auto out = to_text(value);
    if (out.size() > 40) out = out.substr(0, 40) + "…";
    return out;
  }

  void check_list(const Value& value, const TypeUse& type) {
    if (value.kind != ValueKind::list) return check(value, type.items());  // a list of one
    for (const auto& item : value.items) check(item, type.items());
  }

  void check_object(const Value& value, const Type& type) {
    if (value.kind != ValueKind::object) {
      return wrong(value, {&type, 0}, "write its fields in braces");
    }
    for (std::size_t i = 0; i < value.members.size(); ++i) {
      const auto& member = value.members[i];
      const auto* input = type.input_field(member.name);
      if (!input) {
        report_(ValueFault::unknown_field, member.at,
                quoted(type.name) + " has no field " + quoted(member.name) +
                    did_you_mean(member.name, type.inputs));
        continue;
      }
      check(member.value, input->type);
    }
    check_members(value, type);
  }

  void check_members(const Value& value, const Type& type) {
    std::vector<std::string_view> names;
    names.reserve(value.members.size());
    for (const auto& member : value.members) names.push_back(member.name);
    std::sort(names.begin(), names.end());
    const auto twice = std::adjacent_find(names.begin(), names.end());
    if (twice != names.end()) {
      report_(ValueFault::double_field, value.at,
              "the field " + quoted(*twice) + " stands twice: leave one out");
    }
    for (const auto& input : type.inputs) {
      if (input.needed() && !std::binary_search(names.begin(), names.end(), input.name)) {
        report_(
            ValueFault::missing_field, value.at,
            quoted(type.name) + " needs the field " + quoted(input.name) + " of type " + to_text(input.type));
      }
    }
  }

  const ValueReport& report_;
};

// ---- what a client tells for variables ----

json::Value from_literal(const Value& value, const TypeUse& type);

// Coerces in place, and says at the first place that does not fit what should stand there.
class Coercion {
 public:
  explicit Coercion(std::string_view variable) { path_.push_back("$" + std::string(variable)); }

  json::Value value(const json::Value& told, const TypeUse& type) {
    if (told.is_null()) {
      if (type.required()) wrong("cannot be null");
      return told;
    }
    if (type.list()) return list(told, type);
    const auto& named = *type.named;
    if (named.kind == TypeKind::input) return object(told, named);
    if (named.kind == TypeKind::enumeration) {
      if (!told.string() || !named.value(*told.string())) {
        wrong("must be a value of the enum " + quoted(named.name) +
              (told.string() ? did_you_mean(*told.string(), named.values) : std::string()));
      }
      return told;
    }
    return scalar(told, named.form);
  }

  json::Value scalar(const json::Value& told, Form form) {
    bool fits = true;
    switch (form) {
      case Form::integer:
        fits = whole(told);
        break;
      case Form::real:
        fits = told.number() && is_finite(told.number()->text);
        break;
      case Form::string:
        fits = told.string() != nullptr;
        break;
      case Form::boolean:
        fits = told.boolean() != nullptr;
        break;
      case Form::id:
        fits = told.string() || (told.number() && plain_digits(told.number()->text));
        break;
      case Form::any:
        break;
    }
    if (!fits) wrong(std::string("must be ") + wanted(form));
    return told;
  }

 private:
  [[noreturn]] void wrong(const std::string& what) const {
    std::string where;
    for (const auto& part : path_) where += part;
    throw Error(std::string(kBadInput), where + " " + what);
  }
  static bool plain_digits(std::string_view text) {
    return text.find_first_of(".eE") == std::string_view::npos;
  }
  // 1.0 is a whole number, too (section 3.5.1: where no digit is lost).
  static bool whole(const json::Value& told) {
    if (!told.number()) return false;
    const double v = told.as_double(0.5);
    return std::floor(v) == v && v >= -2147483648.0 && v <= 2147483647.0;
  }

  json::Value list(const json::Value& told, const TypeUse& type) {
    json::Array out;
    if (const auto* items = told.array()) {
      out.reserve(items->size());
      for (std::size_t i = 0; i < items->size(); ++i) {
        path_.push_back("[" + std::to_string(i) + "]");
        out.push_back(value((*items)[i], type.items()));
        path_.pop_back();
      }
    } else {
      out.push_back(value(told, type.items()));  // a list of one
    }
    json::Value made;
    made.data = std::move(out);
    return made;
  }

  json::Value object(const json::Value& told, const Type& type) {
    const auto* members = told.object();
    if (!members) wrong("must be an object of type " + quoted(type.name));
    for (const auto& [name, member] : *members) {
      if (!type.input_field(name)) {
        wrong("has a field " + quoted(name) + " that " + quoted(type.name) + " lacks" +
              did_you_mean(name, type.inputs));
      }
    }
    json::Object out;
    for (const auto& input : type.inputs) {
      path_.push_back("." + std::string(input.name));
      if (const auto* member = told.find(input.name)) {
        out.emplace_back(std::string(input.name), value(*member, input.type));
      } else if (input.absent) {
        out.emplace_back(std::string(input.name), from_literal(*input.absent, input.type));
      } else if (input.type.required()) {
        wrong("is missing");
      }
      path_.pop_back();
    }
    json::Value made;
    made.data = std::move(out);
    return made;
  }

  std::vector<std::string> path_;
};

json::Value from_literal(const Value& value, const TypeUse& type) {
  auto out = resolve(value, {}).value_or(json::Value{});
  if (type.list() && !out.is_null() && !out.array()) {
    json::Array one;
    one.push_back(std::move(out));
    out.data = std::move(one);
  }
  return out;
}

Form form_named(std::string_view name) {
  if (name == "Int") return Form::integer;
  if (name == "Float") return Form::real;
  if (name == "String") return Form::string;
  if (name == "Boolean") return Form::boolean;
  return name == "ID" ? Form::id : Form::any;
}

// Of types that no schema tells, all fit.
void check_told(Coercion& coercion, const json::Value& told, const TypeRef& type, std::string_view variable) {
  if (told.is_null()) {
    if (!type.required) return;
    throw Error(std::string(kBadInput), "$" + std::string(variable) + " cannot be null");
  }
  if (!type.items) {
    coercion.scalar(told, form_named(type.name));
  } else if (const auto* items = told.array()) {
    for (const auto& item : *items) check_told(coercion, item, *type.items, variable);
  } else {
    check_told(coercion, told, *type.items, variable);
  }
}

// Calls `fit` with each variable that has a value or a default; returns what has one.
template <typename Fit, typename Default>
Variables each_variable(const Operation& operation, const json::Value* told, Fit fit, Default by_default) {
  if (told && !told->is_null() && !told->object()) {
    throw Error(std::string(kBadInput), "variables must be an object");
  }
  Variables out;
  for (const auto& variable : operation.variables) {
    const auto* value = told ? told->find(variable.name) : nullptr;
    if (value) {
      out.insert_or_assign(std::string(variable.name), fit(variable, *value));
    } else if (variable.absent) {
      out.insert_or_assign(std::string(variable.name), by_default(variable));
    } else if (variable.type.required) {
      throw Error(std::string(kBadInput), "$" + std::string(variable.name) + " needs a value");
    }
  }
  return out;
}

}  // namespace

void check_literal(const Value& value, const TypeUse& type, const ValueReport& report) {
  LiteralCheck(report).check(value, type);
}

bool literal_fits(const Value& value, const TypeUse& type) {
  bool fits = true;
  check_literal(value, type, [&](ValueFault, Place, const std::string&) { fits = false; });
  return fits;
}

Variables coerce_variables(const Schema& schema, const Operation& operation, const json::Value* told) {
  const auto use_of = [&](const VariableDefinition& variable) { return *schema.resolve(variable.type); };
  return each_variable(
      operation, told,
      [&](const auto& variable, const json::Value& value) {
        return Coercion(variable.name).value(value, use_of(variable));
      },
      [&](const auto& variable) { return from_literal(*variable.absent, use_of(variable)); });
}

Variables coerce_variables(const Operation& operation, const json::Value* told) {
  const auto fit = [](const VariableDefinition& variable, const json::Value& value) {
    Coercion coercion(variable.name);
    check_told(coercion, value, variable.type, variable.name);
    return value;
  };
  return each_variable(operation, told, fit, [&](const VariableDefinition& variable) {
    return fit(variable, resolve(*variable.absent, {}).value_or(json::Value{}));
  });
}

std::optional<json::Value> resolve(const Value& value, const Variables& variables) {
  json::Value out;
  switch (value.kind) {
    case ValueKind::variable: {
      const auto found = variables.find(value.text);
      if (found == variables.end()) return std::nullopt;
      return found->second;
    }
    case ValueKind::null:
      break;
    case ValueKind::boolean:
      out.data = value.text == "true";
      break;
    case ValueKind::integer:
    case ValueKind::real:
      out.data = json::Number{std::string(value.text)};
      break;
    case ValueKind::string:
    case ValueKind::enumeration:
      out.data = std::string(value.text);
      break;
    case ValueKind::list: {
      json::Array items;
      for (const auto& item : value.items) items.push_back(resolve(item, variables).value_or(json::Value{}));
      out.data = std::move(items);
      break;
    }
    case ValueKind::object: {
      json::Object members;
      for (const auto& member : value.members) {
        if (auto one = resolve(member.value, variables)) {
          members.emplace_back(std::string(member.name), std::move(*one));
        }
      }
      out.data = std::move(members);
      break;
    }
  }
  return out;
}

std::optional<json::Value> argument_value(const Input& input, const List<Argument>& written,
                                          const Variables& variables) {
  for (const auto& argument : written) {
    if (argument.name != input.name) continue;
    if (auto told = resolve(argument.value, variables)) return told;
    break;
  }
  if (input.absent) return resolve(*input.absent, {});
  return std::nullopt;
}

bool is_taken(const List<Directive>& directives, const Variables& variables) {
  return std::all_of(directives.begin(), directives.end(), [&](const Directive& directive) {
    const bool include = directive.name == "include";
    if (!include && directive.name != "skip") return true;
    const auto value = resolve(directive.arguments.front().value, variables);
    return value && value->boolean() && *value->boolean() == include;
  });
}

// Alike but for case, or for one letter put in, left out, or changed, or two that are swapped.
bool alike(std::string_view a, std::string_view b) {
  if (a.size() > b.size()) std::swap(a, b);
  if (b.size() - a.size() > 1 || b.size() > 64) return false;
  const auto same = [](char x, char y) { return x == y || (x ^ y) == 0x20; };
  std::size_t i = 0;
  while (i < a.size() && same(a[i], b[i])) ++i;
  if (i == b.size()) return true;
  const auto ends_alike = [&](std::size_t from_a, std::size_t from_b) {
    return from_a <= a.size() && from_b <= b.size() &&
           std::equal(a.begin() + static_cast<std::ptrdiff_t>(from_a), a.end(),
                      b.begin() + static_cast<std::ptrdiff_t>(from_b), b.end(), same);
  };
  if (a.size() != b.size()) return ends_alike(i, i + 1);
  if (ends_alike(i + 1, i + 1)) return b.size() > 2;
  return i + 1 < a.size() && same(a[i], b[i + 1]) && same(a[i + 1], b[i]) && ends_alike(i + 2, i + 2);
}

}  // namespace cranemux::graphql
