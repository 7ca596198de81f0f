#include "graphql/validator.h"

#include <algorithm>
#include <unordered_set>

#include "graphql/parser.h"
#include "graphql/values.h"

namespace cranemux::graphql {
namespace {

constexpr std::size_t kMostFaults = 20;

std::string quoted(std::string_view name) { return "'" + std::string(name) + "'"; }
std::string dollar(std::string_view name) { return "'$" + std::string(name) + "'"; }
std::string at_sign(std::string_view name) { return "'@" + std::string(name) + "'"; }

// A variable where it stands, and what is wanted there.
struct Usage {
  const Value* value;
  std::optional<TypeUse> type;  // none: of no known input
  bool has_default = false;     // the place where it stands has one
};

// What one operation or fragment uses.
struct Uses {
  std::vector<Usage> variables;
  std::vector<const Selection*> spreads;
};

const char* location_of(OperationKind kind) {
  constexpr const char* kLocations[] = {"QUERY", "MUTATION", "SUBSCRIPTION"};
  return kLocations[static_cast<int>(kind)];
}

class Validator {
 public:
  Validator(const Schema& schema, const Document& document, const FragmentIndex& fragments,
            const Limits& limits, const RuleSet& left_out)
      : schema_(schema),
        document_(document),
        fragments_(fragments),
        left_out_(left_out),
        visits_(limits.fields),
        merges_(limits.fields) {}

  std::vector<Fault> run() {
    definitions();
    for (const auto& fragment : document_.fragments) {
      check_fragment(fragment);
      if (full()) return std::move(faults_);
    }
    for (const auto& operation : document_.operations) {
      check_operation(operation);
      if (full()) return std::move(faults_);
    }
    const bool cyclic = cycles();
    for (const auto& operation : document_.operations) reach(operation);
    unused_fragments();
    if (!cyclic || left_out_.test(static_cast<std::size_t>(Rule::fragment_spreads_must_not_form_cycles)))
      merge();
    return std::move(faults_);
  }

 private:
  bool full() const { return faults_.size() >= kMostFaults; }
  void fault(Rule rule, std::vector<Place> at, std::string text) {
    if (full() || left_out_.test(static_cast<std::size_t>(rule))) return;
    faults_.push_back({rule, std::move(at), std::move(text)});
  }

  // ---- definitions ----
  void definitions() {
    const auto not_here = [&](Place at) {
      fault(Rule::executable_definitions, {at},
            "definitions of a schema have no place in a request: send operations and fragments only");
    };
    for (const auto& type : document_.types) not_here(type.at);
    for (const auto& directive : document_.directives) not_here(directive.at);
    for (const auto& schema : document_.schemas) not_here(schema.at);
    std::unordered_map<std::string_view, Place> names;
    for (const auto& operation : document_.operations) {
      if (operation.name.empty()) {
        if (document_.operations.size() > 1) {
          fault(Rule::lone_anonymous_operation, {operation.at},
                "an operation without a name must be alone: give it one");
        }
        continue;
      }
      const auto [first, fresh] = names.emplace(operation.name, operation.at);
      if (!fresh) {
        fault(Rule::operation_name_uniqueness, {first->second, operation.at},
              "there are two operations named " + quoted(operation.name) + ": rename one");
      }
    }
    for (const auto& fragment : document_.fragments) {
      const auto* first = fragments_.find(fragment.name);
      if (first != &fragment) {
        fault(Rule::fragment_name_uniqueness, {first->at, fragment.at},
              "there are two fragments named " + quoted(fragment.name) + ": rename one");
      }
    }
  }

  void check_operation(const Operation& operation) {
    uses_ = &uses_of_[&operation];
    const auto* root = schema_.root(operation.kind);
    if (!root) {
      fault(Rule::field_selections, {operation.at},
            "this service has no " + std::string(name_of(operation.kind)) + " operations");
    }
    directives(operation.directives, location_of(operation.kind));
    for (const auto& variable : operation.variables) check_variable(variable);
    if (root) selections(operation.selections, *root);
    if (operation.kind == OperationKind::subscription && root) single_root_field(operation);
  }

  void check_variable(const VariableDefinition& variable) {
    const auto type = schema_.resolve(variable.type);
    if (!type || !type->named->input()) {
      fault(Rule::variables_are_input_types, {variable.type.at},
            dollar(variable.name) + " is of " + quoted(to_text(variable.type)) +
                (type ? ", which is no input type: use a scalar, an enum or an input type"
                      : ", which does not exist" + nearest_type(variable.type)));
    } else if (variable.absent) {
      literal(*variable.absent, *type);
    }
    directives(variable.directives, "VARIABLE_DEFINITION");
  }

  std::string nearest_type(const TypeRef& ref) const {
    const auto* base = &ref;
    while (base->items) base = base->items;
    return nearest_type(base->name);
  }
  std::string nearest_type(std::string_view name) const {
    std::vector<Named> names;
    for (const auto& [known, type] : schema_.types()) names.push_back({known, {}});
    return did_you_mean(name, names);
  }

  void check_fragment(const Fragment& fragment) {
    uses_ = &uses_of_[&fragment];
    directives(fragment.directives, "FRAGMENT_DEFINITION");
    const auto* type = condition(fragment.condition, fragment.condition_at);
    if (type) selections(fragment.selections, *type);
  }

  // The composite type that a fragment is on; none where it is at fault.
  const Type* condition(std::string_view name, Place at) {
    const auto* type = schema_.type(name);
    if (!type) {
      fault(Rule::fragment_spread_type_existence, {at},
            "there is no type " + quoted(name) + nearest_type(name));
    } else if (!type->composite()) {
      fault(Rule::fragments_on_composite_types, {at},
            quoted(name) + " has no fields to select: a fragment is on an object, an interface or a union");
      return nullptr;
    }
    return type;
  }

  // ---- selections ----
  void selections(const List<Selection>& set, const Type& parent) {
    for (const auto& s : set) {
      visits_.spend();
      if (full()) return;
      switch (s.kind) {
        case SelectionKind::field:
          field(s, parent);
          break;
        case SelectionKind::inlined:
          inlined(s, parent);
          break;
        case SelectionKind::spread:
          spread(s, parent);
          break;
      }
    }
  }

  void field(const Selection& s, const Type& parent) {
    directives(s.directives, "FIELD");
    const auto* field = s.field = schema_.field(parent, s.name);
    s.type = &parent;
    if (!field) {
      fault(Rule::field_selections, {s.at},
            quoted(parent.name) + " has no field " + quoted(s.name) + instead(s, parent));
      arguments(s.arguments, {}, s.at, s.name, false);
      return;
    }
    arguments(s.arguments, field->arguments, s.at, s.name, true);
    const auto& type = *field->type.named;
    if (type.leaf() && !s.selections.empty()) {
      fault(Rule::leaf_field_selections, {s.at},
            quoted(s.name) + " is " + to_text(field->type) + ", which has no fields: leave its braces out");
    } else if (type.composite() && s.selections.empty()) {
      fault(Rule::leaf_field_selections, {s.at},
            quoted(s.name) + " is " + to_text(field->type) + ": say which of its fields you want, as in '" +
                std::string(s.name) + " { " + first_field(type) + " }'");
    }
    if (type.composite()) selections(s.selections, type);
  }

  static std::string first_field(const Type& type) {
    return type.fields.empty() ? "__typename" : std::string(type.fields.front().name);
  }

  std::string instead(const Selection& s, const Type& parent) const {
    if (parent.kind == TypeKind::union_of) return ": select it in a fragment on one of the union's types";
    for (const auto* object : parent.possible) {
      if (parent.abstract() && object->field(s.name)) {
        return ": select it in '... on " + std::string(object->name) + "'";
      }
    }
    return did_you_mean(s.name, parent.fields);
  }

  void inlined(const Selection& s, const Type& parent) {
    directives(s.directives, "INLINE_FRAGMENT");
    const auto* type = s.name.empty() ? &parent : condition(s.name, s.at);
    if (!type) return;
    s.type = type;
    possible(*type, parent, s);
    selections(s.selections, *type);
  }

  void spread(const Selection& s, const Type& parent) {
    directives(s.directives, "FRAGMENT_SPREAD");
    uses_->spreads.push_back(&s);
    const auto* found = fragments_.find(s.name);
    if (!found) {
      fault(Rule::fragment_spread_target_defined, {s.at},
            "there is no fragment " + quoted(s.name) + nearest_fragment(s.name));
      return;
    }
    const auto* type = schema_.type(found->condition);
    if (type && type->composite()) possible(*type, parent, s);
  }

  std::string nearest_fragment(std::string_view name) const {
    return did_you_mean(name, document_.fragments);
  }

  void possible(const Type& type, const Type& parent, const Selection& s) {
    if (overlap(type, parent)) return;
    fault(Rule::fragment_spread_is_possible, {s.at},
          "a value of " + quoted(parent.name) + " is never a " + quoted(type.name) +
              ": leave this fragment out");
  }

  // ---- arguments, directives, values ----
  void arguments(const List<Argument>& written, const std::vector<Input>& known, Place at,
                 std::string_view what, bool checked) {
    unique(written, Rule::argument_uniqueness, "argument");
    for (const auto& argument : written) {
      const auto input =
          std::find_if(known.begin(), known.end(), [&](const auto& i) { return i.name == argument.name; });
      if (input != known.end()) {
        value(argument.value, input->type, input->absent != nullptr);
        continue;
      }
      if (checked) {
        fault(
            Rule::argument_names, {argument.at},
            quoted(what) + " has no argument " + quoted(argument.name) + did_you_mean(argument.name, known));
      }
      unknown_value(argument.value);
    }
    for (const auto& input : known) {
      if (!input.needed()) continue;
      const bool told =
          std::any_of(written.begin(), written.end(), [&](const auto& a) { return a.name == input.name; });
      if (!told) {
        fault(Rule::required_arguments, {at},
              quoted(what) + " needs the argument " + quoted(input.name) + " of type " + to_text(input.type));
      }
    }
  }

  void unique(const List<Argument>& written, Rule rule, const char* word) {
    if (written.size() < 2) return;
    std::vector<const Argument*> sorted;
    for (const auto& argument : written) sorted.push_back(&argument);
    std::stable_sort(sorted.begin(), sorted.end(),
                     [](const auto* a, const auto* b) { return a->name < b->name; });
    for (std::size_t i = 1; i < sorted.size(); ++i) {
      if (sorted[i]->name != sorted[i - 1]->name) continue;
      fault(rule, {sorted[i - 1]->at, sorted[i]->at},
            "the " + std::string(word) + " " + quoted(sorted[i]->name) + " stands twice: leave one out");
    }
  }

  void directives(const List<Directive>& written, std::string_view location) {
    for (const auto& directive : written) {
      visits_.spend();
      const auto* known = schema_.directive(directive.name);
      if (!known) {
        std::vector<Named> names;
        for (const auto& [name, any] : schema_.directives()) names.push_back({name, {}});
        fault(Rule::directives_are_defined, {directive.at},
              "there is no directive " + at_sign(directive.name) + did_you_mean(directive.name, names));
        arguments(directive.arguments, {}, directive.at, directive.name, false);
        continue;
      }
      if (known->locations.count(location) == 0) {
        fault(Rule::directives_are_in_valid_locations, {directive.at},
              at_sign(directive.name) + " has no place on a " + std::string(location));
      }
      arguments(directive.arguments, known->arguments, directive.at, directive.name, true);
    }
    unique_directives(written);
  }

  void unique_directives(const List<Directive>& written) {
    if (written.size() < 2) return;
    std::unordered_map<std::string_view, Place> seen;
    for (const auto& directive : written) {
      const auto* known = schema_.directive(directive.name);
      if (!known || known->repeatable) continue;
      const auto [first, fresh] = seen.emplace(directive.name, directive.at);
      if (!fresh) {
        fault(Rule::directives_are_unique_per_location, {first->second, directive.at},
              at_sign(directive.name) + " stands here twice: leave one out");
      }
    }
  }

  void value(const Value& value, const TypeUse& type, bool has_default) {
    if (!type.named->input()) return unknown_value(value);
    literal(value, type);
    variables_in(value, type, has_default);
  }

  void literal(const Value& value, const TypeUse& type) {
    if (value.kind == ValueKind::variable) return;
    const auto report = [this](ValueFault kind, Place at, const std::string& text) {
      constexpr Rule kByKind[] = {Rule::values_of_correct_type, Rule::input_object_field_names,
                                  Rule::input_object_field_uniqueness, Rule::input_object_required_fields};
      fault(kByKind[static_cast<int>(kind)], {at}, text);
    };
    check_literal(value, type, report);
  }

  void variables_in(const Value& value, const TypeUse& type, bool has_default) {
    if (value.kind == ValueKind::variable) {
      uses_->variables.push_back({&value, type, has_default});
      return;
    }
    for (const auto& item : value.items) variables_in(item, type.list() ? type.items() : type, false);
    for (const auto& member : value.members) {
      const auto* input =
          type.named->kind == TypeKind::input ? type.named->input_field(member.name) : nullptr;
      if (input) {
        variables_in(member.value, input->type, input->absent != nullptr);
      } else {
        unknown_value(member.value);
      }
    }
  }

  // Of what is not known here its variables are used all the same.
  void unknown_value(const Value& value) {
    if (value.kind == ValueKind::variable) uses_->variables.push_back({&value, std::nullopt, false});
    for (const auto& item : value.items) unknown_value(item);
    for (const auto& member : value.members) unknown_value(member.value);
  }

  // ---- over fragments ----
  const Uses& uses(const void* definition) { return uses_of_[definition]; }

  bool cycles() {
    std::unordered_map<const Fragment*, int> state;  // 1: open, 2: done
    bool found = false;
    for (const auto& fragment : document_.fragments) found = cycle(fragment, state) || found;
    return found;
  }
  // Deep chains are as long as the document has fragments: bounded by its tokens.
  bool cycle(const Fragment& fragment, std::unordered_map<const Fragment*, int>& state) {
    if (state[&fragment] != 0) return false;
    state[&fragment] = 1;
    bool found = false;
    for (const auto* s : uses(&fragment).spreads) {
      visits_.spend();
      const auto* target = fragments_.find(s->name);
      if (!target) continue;
      if (state[target] == 1) {
        found = true;
        fault(Rule::fragment_spreads_must_not_form_cycles, {s->at},
              "the fragment " + quoted(s->name) + " spreads itself, here or by others: leave one spread out");
      } else {
        found = cycle(*target, state) || found;
      }
    }
    state[&fragment] = 2;
    return found;
  }

  // What an operation reaches: its variables, and the fragments that are used.
  void reach(const Operation& operation) {
    std::unordered_map<std::string_view, const VariableDefinition*> declared;
    for (const auto& variable : operation.variables) {
      const auto [first, fresh] = declared.emplace(variable.name, &variable);
      if (!fresh) {
        fault(Rule::variable_uniqueness, {first->second->at, variable.at},
              "there are two variables " + dollar(variable.name) + ": rename one");
      }
    }
    std::unordered_set<std::string_view> used;
    std::unordered_set<const Fragment*> seen;
    std::vector<const void*> open{&operation};
    while (!open.empty()) {
      const auto& here = uses(open.back());
      open.pop_back();
      for (const auto& usage : here.variables) {
        visits_.spend();
        used.insert(usage.value->text);
        check_usage(usage, declared, operation);
      }
      for (const auto* s : here.spreads) {
        visits_.spend();
        const auto* target = fragments_.find(s->name);
        if (!target || !seen.insert(target).second) continue;
        reached_.insert(target);
        open.push_back(target);
      }
    }
    for (const auto& variable : operation.variables) {
      if (used.count(variable.name) > 0) continue;
      fault(Rule::all_variables_used, {variable.at}, dollar(variable.name) + " is not used: leave it out");
    }
  }

  void check_usage(const Usage& usage,
                   const std::unordered_map<std::string_view, const VariableDefinition*>& declared,
                   const Operation& operation) {
    const auto found = declared.find(usage.value->text);
    if (found == declared.end()) {
      fault(Rule::all_variable_uses_defined, {usage.value->at, operation.at},
            dollar(usage.value->text) + " is not declared by the operation" +
                (operation.name.empty() ? "" : " " + quoted(operation.name)) +
                did_you_mean(usage.value->text, operation.variables));
      return;
    }
    const auto& variable = *found->second;
    const auto type = schema_.resolve(variable.type);
    if (!usage.type || !type) return;
    if (!allowed(*type, variable.absent, usage)) {
      fault(Rule::all_variable_usages_are_allowed, {variable.at, usage.value->at},
            dollar(variable.name) + " is " + to_text(*type) + " and stands where " + to_text(*usage.type) +
                " is wanted");
    }
  }

  // IsVariableUsageAllowed (section 5.8.5).
  static bool allowed(const TypeUse& type, const std::optional<Value>& absent, const Usage& usage) {
    if (usage.type->required() && !type.required()) {
      const bool has_value = absent && absent->kind != ValueKind::null;
      return (has_value || usage.has_default) && compatible(type, usage.type->optional());
    }
    return compatible(type, *usage.type);
  }
  static bool compatible(const TypeUse& type, const TypeUse& wanted) {
    if (wanted.required()) return type.required() && compatible(type.optional(), wanted.optional());
    const auto mine = type.optional();
    if (wanted.list() != mine.list()) return false;
    return wanted.list() ? compatible(mine.items(), wanted.items()) : mine.named == wanted.named;
  }

  void unused_fragments() {
    for (const auto& fragment : document_.fragments) {
      if (reached_.count(&fragment) > 0 || fragments_.find(fragment.name) != &fragment) continue;
      fault(Rule::fragments_must_be_used, {fragment.at},
            "the fragment " + quoted(fragment.name) + " is not used: leave it out");
    }
  }

  // ---- whole selection sets ----
  void merge() {
    const auto look = [&](const List<Selection>& set, const Type* parent) {
      if (full() || !parent || left_out_.test(static_cast<std::size_t>(Rule::field_selection_merging)))
        return;
      if (auto found = find_conflict(merges_, set)) faults_.push_back(std::move(*found));
    };
    for (const auto& operation : document_.operations)
      look(operation.selections, schema_.root(operation.kind));
    for (const auto& fragment : document_.fragments) {
      if (reached_.count(&fragment) == 0) look(fragment.selections, schema_.type(fragment.condition));
    }
  }

  void single_root_field(const Operation& operation) {
    std::vector<const Selection*> fields;
    std::unordered_set<std::string_view> keys, spread;
    root_fields(operation.selections, fields, spread);
    for (const auto* s : fields) keys.insert(s->key());
    if (keys.size() > 1) {
      fault(Rule::single_root_field, {fields[0]->at, fields[1]->at},
            "a subscription has one field at its root: subscribe once for each");
    } else if (!fields.empty() && fields[0]->name.starts_with("__")) {
      fault(Rule::single_root_field, {fields[0]->at},
            "a subscription's field cannot be one of introspection");
    }
  }
  void root_fields(const List<Selection>& set, std::vector<const Selection*>& out,
                   std::unordered_set<std::string_view>& spread) {
    for (const auto& s : set) {
      visits_.spend();
      if (s.kind == SelectionKind::field) {
        out.push_back(&s);
      } else if (s.kind == SelectionKind::inlined) {
        root_fields(s.selections, out, spread);
      } else if (spread.insert(s.name).second) {
        const auto* found = fragments_.find(s.name);
        if (found) root_fields(found->selections, out, spread);
      }
    }
  }

  const Schema& schema_;
  const Document& document_;
  const FragmentIndex& fragments_;
  const RuleSet left_out_;
  Budget visits_, merges_;
  std::vector<Fault> faults_;
  std::unordered_map<const void*, Uses> uses_of_;  // by operation or fragment
  Uses* uses_ = nullptr;                           // of the one that is being checked
  std::unordered_set<const Fragment*> reached_;
};

}  // namespace

std::optional<Rule> rule_named(std::string_view name) {
  for (std::size_t i = 0; i < kRules; ++i) {
    if (kRuleNames[i].name == name) return static_cast<Rule>(i);
  }
  return std::nullopt;
}

std::vector<Fault> validate(const Schema& schema, const Document& document, const FragmentIndex& fragments,
                            const Limits& limits, const RuleSet& left_out) {
  return Validator(schema, document, fragments, limits, left_out).run();
}

}  // namespace cranemux::graphql
