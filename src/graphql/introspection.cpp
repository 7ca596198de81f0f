#include "graphql/introspection.h"

#include <algorithm>
#include <unordered_map>
#include <unordered_set>
#include <variant>

#include "graphql/parser.h"

namespace cranemux::graphql {
namespace {

bool of_introspection(std::string_view field) {
  return field == "__schema" || field == "__type" || field == "__typename";
}

struct Roots {
  bool own = false, other = false, schema = false;
};

void look(const List<Selection>& selections, const FragmentIndex& fragments,
          std::unordered_set<std::string_view>& seen, Roots& roots) {
  for (const auto& s : selections) {
    if (s.kind == SelectionKind::field) {
      (of_introspection(s.name) ? roots.own : roots.other) = true;
      roots.schema = roots.schema || (of_introspection(s.name) && s.name != "__typename");
    } else if (s.kind == SelectionKind::inlined) {
      look(s.selections, fragments, seen, roots);
    } else if (seen.insert(s.name).second) {
      const auto* found = fragments.find(s.name);
      if (found) look(found->selections, fragments, seen, roots);
    }
  }
}

struct Nothing {};
struct WholeSchema {};
// What a field of introspection is asked of.
using Object = std::variant<Nothing, WholeSchema, TypeUse, const Field*, const Input*, const EnumValue*,
                            const DirectiveUse*>;

constexpr std::string_view kKinds[] = {"SCALAR", "OBJECT", "INTERFACE", "UNION", "ENUM", "INPUT_OBJECT"};

class Introspector {
 public:
  Introspector(const Schema& schema, const FragmentIndex& fragments, const Variables& variables,
               const IntrospectionLimits& limits)
      : schema_(schema), fragments_(fragments), variables_(variables), limits_(limits) {}

  std::string run(const Operation& operation) {
    out_ = "{\"data\":";
    object({&operation.selections}, "Query", [&](const Selection& s) { root(s, operation); });
    return std::move(out_ += '}');
  }

 private:
  using Sets = std::vector<const List<Selection>*>;
  struct Group {
    const Selection* first;
    Sets selections;
  };

  void count() {
    if (++values_ <= limits_.values && out_.size() <= limits_.bytes) return;
    throw Error(std::string(kTooLarge), "the answer is too large: ask for fewer types or fields at once");
  }

  // CollectFields (section 6.3.2). The types of introspection have no interfaces, so a fragment fits by its
  // name, or does not.
  void collect(const Sets& sets, std::string_view type, std::vector<Group>& groups,
               std::unordered_set<std::string_view>& seen) const {
    for (const auto* set : sets) {
      for (const auto& s : *set) {
        if (!is_taken(s.directives, variables_)) continue;
        if (s.kind == SelectionKind::inlined) {
          if (fits(s.name, type)) collect({&s.selections}, type, groups, seen);
        } else if (s.kind == SelectionKind::spread) {
          const auto& fragment = *fragments_.find(s.name);
          if (seen.insert(s.name).second && fits(fragment.condition, type)) {
            collect({&fragment.selections}, type, groups, seen);
          }
        } else {
          const auto at = std::find_if(groups.begin(), groups.end(),
                                       [&](const Group& g) { return g.first->key() == s.key(); });
          if (at == groups.end())
            groups.push_back({&s, {&s.selections}});
          else
            at->selections.push_back(&s.selections);
        }
      }
    }
  }
  bool fits(std::string_view condition, std::string_view type) const {
    if (condition.empty() || condition == type) return true;
    return type == "Query" && condition == schema_.root(OperationKind::query)->name;
  }

  template <typename Field_>
  void object(const Sets& sets, std::string_view type, Field_ field) {
    std::vector<Group> groups;
    std::unordered_set<std::string_view> seen;
    collect(sets, type, groups, seen);
    out_ += '{';
    for (std::size_t i = 0; i < groups.size(); ++i) {
      count();
      if (i > 0) out_ += ',';
      json::write_string(out_, groups[i].first->key());
      out_ += ':';
      below_ = groups[i].selections;
      field(*groups[i].first);
    }
    out_ += '}';
  }

  // ---- values ----
  void text(std::string_view value) { json::write_string(out_, value); }
  void text_or_null(std::string_view value) { value.empty() ? void(out_ += "null") : text(value); }
  void reason(const std::optional<std::string_view>& deprecated) {
    deprecated ? text(*deprecated) : void(out_ += "null");
  }
  void flag(bool value) { out_ += value ? "true" : "false"; }
  void none() { out_ += "null"; }

  template <typename Items, typename Make>
  void list(const Items& items, Make make) {
    const auto below = below_;
    out_ += '[';
    bool first = true;
    for (const auto& item : items) {
      const auto made = make(item);
      if (std::holds_alternative<Nothing>(made)) continue;
      count();
      if (!std::exchange(first, false)) out_ += ',';
      below_ = below;
      value(made);
    }
    out_ += ']';
  }

  bool argument_flag(const Selection& s, std::string_view name) const {
    for (const auto& argument : s.arguments) {
      if (argument.name != name) continue;
      const auto told = resolve(argument.value, variables_);
      return told && told->boolean() && *told->boolean();
    }
    return false;
  }

  void root(const Selection& s, const Operation& operation) {
    if (s.name == "__typename") return text(schema_.root(operation.kind)->name);
    if (s.name == "__schema") return value(WholeSchema{});
    const auto name = resolve(s.arguments.front().value, variables_);
    const auto* type = name && name->string() ? schema_.type(*name->string()) : nullptr;
    type ? value(TypeUse{type, 0}) : none();
  }

  void value(const Object& asked) {
    const auto below = below_;
    std::visit([&](const auto& one) { write(below, one); }, asked);
  }

  void write(const Sets&, Nothing) { none(); }

  void write(const Sets& below, WholeSchema) {
    object(below, "__Schema", [&](const Selection& s) {
      if (s.name == "__typename") return text("__Schema");
      if (s.name == "description") return text_or_null(schema_.description());
      if (s.name == "types")
        return list(schema_.types(), [](const auto& item) -> Object {
          return TypeUse{item.second.get(), 0};
        });
      if (s.name == "directives")
        return list(schema_.directives(), [](const auto& item) -> Object { return &item.second; });
      const auto kind = s.name == "queryType"      ? OperationKind::query
                        : s.name == "mutationType" ? OperationKind::mutation
                                                   : OperationKind::subscription;
      const auto* type = schema_.root(kind);
      type ? value(TypeUse{type, 0}) : none();
    });
  }

  void write(const Sets& below, const TypeUse& use) {
    object(below, "__Type", [&](const Selection& s) {
      if (s.name == "__typename") return text("__Type");
      if (use.required() || use.list()) return wrapped(s, use);
      named(s, *use.named);
    });
  }

  void wrapped(const Selection& s, const TypeUse& use) {
    if (s.name == "kind") return text(use.required() ? "NON_NULL" : "LIST");
    if (s.name == "ofType") return value(use.required() ? use.optional() : use.items());
    none();
  }

  void named(const Selection& s, const Type& type) {
    const bool all = argument_flag(s, "includeDeprecated");
    const auto current = [all](const auto& item) -> Object {
      if (item.deprecated && !all) return Nothing{};
      return &item;
    };
    const bool has_fields = type.kind == TypeKind::object || type.kind == TypeKind::interface;
    if (s.name == "kind") return text(kKinds[static_cast<int>(type.kind)]);
    if (s.name == "name") return text(type.name);
    if (s.name == "description") return text_or_null(type.description);
    if (s.name == "specifiedByURL") return text_or_null(type.specified_by.value_or(""));
    if (s.name == "fields") return has_fields ? list(type.fields, current) : none();
    if (s.name == "enumValues")
      return type.kind == TypeKind::enumeration ? list(type.values, current) : none();
    if (s.name == "inputFields") return type.kind == TypeKind::input ? list(type.inputs, current) : none();
    const auto as_use = [](const Type* one) -> Object { return TypeUse{one, 0}; };
    if (s.name == "interfaces") return has_fields ? list(type.interfaces, as_use) : none();
    if (s.name == "possibleTypes" && type.abstract()) {
      auto sorted = type.possible;  // by name, not by address: the same in every process
      std::sort(sorted.begin(), sorted.end(), [](const auto* a, const auto* b) { return a->name < b->name; });
      return list(sorted, as_use);
    }
    none();
  }

  void write(const Sets& below, const Field* field) {
    object(below, "__Field", [&](const Selection& s) {
      if (s.name == "__typename") return text("__Field");
      if (s.name == "args") return arguments(s, field->arguments);
      if (s.name == "type") return value(field->type);
      common(s, *field);
    });
  }

  void write(const Sets& below, const Input* input) {
    object(below, "__InputValue", [&](const Selection& s) {
      if (s.name == "__typename") return text("__InputValue");
      if (s.name == "type") return value(input->type);
      if (s.name == "defaultValue") return input->absent ? text(to_text(*input->absent)) : none();
      common(s, *input);
    });
  }

  void write(const Sets& below, const EnumValue* one) {
    object(below, "__EnumValue",
           [&](const Selection& s) { s.name == "__typename" ? text("__EnumValue") : common(s, *one); });
  }

  void write(const Sets& below, const DirectiveUse* directive) {
    object(below, "__Directive", [&](const Selection& s) {
      if (s.name == "__typename") return text("__Directive");
      if (s.name == "name") return text(directive->name);
      if (s.name == "description") return text_or_null(directive->description);
      if (s.name == "isRepeatable") return flag(directive->repeatable);
      if (s.name == "args") return arguments(s, directive->arguments);
      out_ += '[';
      for (const auto location : directive->locations) {
        if (out_.back() != '[') out_ += ',';
        text(location);
      }
      out_ += ']';
    });
  }

  void arguments(const Selection& s, const std::vector<Input>& inputs) {
    const bool all = argument_flag(s, "includeDeprecated");
    list(inputs, [all](const Input& input) -> Object {
      if (input.deprecated && !all) return Nothing{};
      return &input;
    });
  }

  template <typename Item>
  void common(const Selection& s, const Item& item) {
    if (s.name == "name") return text(item.name);
    if (s.name == "description") return text_or_null(item.description);
    if (s.name == "isDeprecated") return flag(item.deprecated.has_value());
    reason(item.deprecated);
  }

  const Schema& schema_;
  const FragmentIndex& fragments_;
  const Variables& variables_;
  const IntrospectionLimits limits_;
  Sets below_;  // of the field that is being written
  std::string out_;
  std::size_t values_ = 0;
};

}  // namespace

Introspection introspection_of(const FragmentIndex& fragments, const Operation& operation) {
  if (operation.kind != OperationKind::query) return Introspection::none;
  Roots roots;
  std::unordered_set<std::string_view> seen;
  look(operation.selections, fragments, seen, roots);
  if (!roots.schema) return roots.own && !roots.other ? Introspection::name : Introspection::none;
  return roots.other ? Introspection::some : Introspection::all;
}

std::string introspect(const Schema& schema, const FragmentIndex& fragments, const Operation& operation,
                       const Variables& variables, const IntrospectionLimits& limits) {
  return Introspector(schema, fragments, variables, limits).run(operation);
}

}  // namespace cranemux::graphql
