#include "graphql/field_costs.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace cranemux::graphql {
namespace {

[[noreturn]] void invalid(const std::string& what, Place at = {}) {
  throw Error(std::string(kInvalid), what, at);
}

template <typename Items>
void check_unique(const Items& items, const std::string& what) {
  std::set<std::string_view> names;
  for (const auto& item : items) {
    if (!item.name.empty() && !names.insert(item.name).second) {
      invalid("two " + what + " are named " + std::string(item.name), item.at);
    }
  }
}

void check_arguments(const List<Selection>& selections) {
  for (const auto& s : selections) {
    check_unique(s.arguments, "arguments");
    check_arguments(s.selections);
  }
}

using Fragments = std::map<std::string_view, const Fragment*>;

class Pricer {
 public:
  Pricer(const Document& document, const Operation& operation, const Variables& variables, const Costs& costs,
         const Limits& limits)
      : variables_(variables), costs_(costs), limits_(limits) {
    for (const auto& fragment : document.fragments) fragments_.emplace(fragment.name, &fragment);
    for (const auto& variable : operation.variables) declared_.insert(variable.name);
  }

  FieldPrice whole(const Document& document, const Operation& operation) {
    check(operation.directives);
    std::set<std::string_view> done, open;
    for (const auto& fragment : document.fragments) check_cycles(fragment.name, done, open);
    // A mutation is a booking, whatever its fields are called: it may have an effect.
    price_.booking = operation.kind == OperationKind::mutation;
    add({&operation.selections}, 1, 1);
    return price_;
  }

 private:
  struct Group {  // fields that answer under one key
    const Selection* first = nullptr;
    std::vector<const List<Selection>*> selections;
  };
  using Groups = std::vector<std::pair<std::string, Group>>;

  using Names = std::set<std::string_view>;
  const Fragment& fragment(std::string_view name) const {
    const auto found = fragments_.find(name);
    if (found == fragments_.end()) invalid("no fragment is named " + std::string(name));
    return *found->second;
  }
  void check_cycles(std::string_view name, Names& done, Names& open) {
    if (done.count(name) > 0) return;
    if (!open.insert(name).second) invalid("fragment " + std::string(name) + " spreads itself");
    check_spreads(fragment(name).selections, done, open);
    open.erase(name);
    done.insert(name);
  }
  void check_spreads(const List<Selection>& selections, Names& done, Names& open) {
    for (const auto& s : selections) {
      if (s.kind == SelectionKind::spread) check_cycles(s.name, done, open);
      check_spreads(s.selections, done, open);
    }
  }

  void check(const List<Directive>& directives) const {
    for (const auto& directive : directives) check(directive.arguments);
  }
  void check(const List<Argument>& arguments) const {
    for (const auto& argument : arguments) check(argument.value);
  }
  void check(const Value& value) const {
    if (value.kind == ValueKind::variable && declared_.count(value.text) == 0) {
      invalid("variable $" + std::string(value.text) + " is not declared", value.at);
    }
    for (const auto& item : value.items) check(item);
    check(value.members);
  }

  // By @skip and @include.
  bool taken(const List<Directive>& directives) const {
    check(directives);
    bool taken = true;
    for (const auto& directive : directives) {
      if (directive.name != "skip" && directive.name != "include") continue;
      if (directive.arguments.size() != 1 || directive.arguments[0].name != "if") {
        invalid("@" + std::string(directive.name) + " needs the argument if", directive.at);
      }
      const auto value = resolve(directive.arguments[0].value, variables_);
      if (!value || !value->boolean()) {
        invalid("@" + std::string(directive.name) + "(if:) needs a Boolean", directive.at);
      }
      taken = taken && *value->boolean() == (directive.name == "include");
    }
    return taken;
  }

  // `condition`: the type that the fields are for, where a fragment names one. Types are not known here, so
  // fields for two types are both paid for; only for one type must a key have one meaning.
  void collect(const List<Selection>& selections, const std::string& condition, std::size_t depth,
               Groups& groups) {
    if (depth > limits_.depth) throw Error(std::string(kTooDeep), "the operation is nested too deeply");
    for (const auto& s : selections) {
      if (++visited_ > limits_.fields)
        throw Error(std::string(kTooLarge), "the operation has too many fields");
      if (!taken(s.directives)) continue;
      if (s.kind == SelectionKind::spread) {
        const auto& spread = fragment(s.name);
        if (taken(spread.directives)) {
          collect(spread.selections, depth > 1 ? std::string(spread.condition) : "", depth, groups);
        }
      } else if (s.kind == SelectionKind::inlined) {
        collect(s.selections, s.name.empty() || depth == 1 ? condition : std::string(s.name), depth, groups);
      } else {
        check(s.arguments);
        const auto key = condition + '.' + std::string(s.key());
        auto at = std::find_if(groups.begin(), groups.end(), [&](const auto& g) { return g.first == key; });
        if (at == groups.end()) {
          groups.emplace_back(key, Group{&s, {}});
          at = groups.end() - 1;
        } else if (at->second.first->name != s.name || told(*at->second.first) != told(s)) {
          invalid("two fields that differ answer as " + std::string(s.key()), s.at);
        }
        at->second.selections.push_back(&s.selections);
      }
    }
  }

  std::string told(const Selection& field) const {
    std::vector<std::string> parts;
    for (const auto& argument : field.arguments) {
      parts.push_back(std::string(argument.name) + '=');
      json::write(parts.back(), resolve(argument.value, variables_).value_or(json::Value{}));
    }
    std::sort(parts.begin(), parts.end());
    std::string out;
    for (const auto& part : parts) out += part + '\n';
    return out;
  }

  double size_of(const Selection& field, const FieldCost& cost) const {
    for (const auto& argument : field.arguments) {
      if (argument.name != cost.size_argument) continue;
      const auto value = resolve(argument.value, variables_);
      if (!value || value->is_null()) break;
      if (value->array()) return static_cast<double>(value->array()->size());
      const double size = value->as_double(-1);
      if (!value->number() || size < 0 || !std::isfinite(size)) {
        throw Error(
            std::string(kBadInput),
            "argument " + std::string(argument.name) + " of " + std::string(field.name) + " is no size",
            argument.at);
      }
      return std::ceil(size);
    }
    return cost.usual_size;
  }

  void add(const std::vector<const List<Selection>*>& sets, double times, std::size_t depth) {
    Groups groups;
    for (const auto* set : sets) collect(*set, "", depth, groups);
    for (const auto& [key, group] : groups) {
      const auto& field = *group.first;
      const auto listed = costs_.fields.find(field.name);
      const bool leaf = std::all_of(group.selections.begin(), group.selections.end(),
                                    [](const auto* set) { return set->empty(); });
      double here = times;
      if (listed != costs_.fields.end()) {
        price_.booking = price_.booking || listed->second.booking;
        if (!listed->second.size_argument.empty()) here *= size_of(field, listed->second);
        price_.units += here * listed->second.cost;
      } else if (depth == 1 && !field.name.starts_with("__")) {
        throw Error("UNPRICED_FIELD", "field " + std::string(field.name) + " has no cost here", field.at);
      } else {
        price_.units += here * (leaf ? costs_.leaf_cost : costs_.object_cost);
      }
      if (!leaf) add(group.selections, here, depth + 1);
    }
  }

  Fragments fragments_;
  const Variables& variables_;
  const Costs& costs_;
  const Limits& limits_;
  std::set<std::string_view> declared_;
  std::size_t visited_ = 0;
  FieldPrice price_;
};

}  // namespace

void check_names(const Document& document) {
  check_unique(document.fragments, "fragments");
  check_unique(document.operations, "operations");
  for (const auto& operation : document.operations) {
    check_unique(operation.variables, "variables");
    check_arguments(operation.selections);
  }
  for (const auto& fragment : document.fragments) check_arguments(fragment.selections);
}

FieldPrice price_by_fields(const Document& document, const Operation& operation, const Variables& variables,
                           const Costs& costs, const Limits& limits) {
  return Pricer(document, operation, variables, costs, limits).whole(document, operation);
}

}  // namespace cranemux::graphql
