#include "front/graphql/price.h"

#include <algorithm>
#include <cmath>

namespace cranemux::graphql {
namespace {

[[noreturn]] void invalid(const std::string& what) { throw Error("GRAPHQL_VALIDATION_FAILED", what); }

class Pricer {
 public:
  Pricer(const Document& document, const Operation& operation, const Variables& variables, const Costs& costs,
         const Limits& limits)
      : document_(document), variables_(variables), costs_(costs), limits_(limits) {
    for (const auto& variable : operation.variables) declared_.insert(variable.name);
  }

  Price whole(const Operation& operation) {
    check(operation.directives);
    std::set<std::string> done, open;
    for (const auto& [name, fragment] : document_.fragments) check_cycles(name, done, open);
    // A mutation is a booking, whatever its fields are called: it may have an effect.
    price_.booking = operation.type == "mutation";
    add({&operation.selections}, 1, 1);
    return price_;
  }

 private:
  struct Group {  // fields that answer under one key
    const Selection* first = nullptr;
    std::vector<const std::vector<Selection>*> selections;
  };
  using Groups = std::vector<std::pair<std::string, Group>>;

  void check_cycles(const std::string& name, std::set<std::string>& done, std::set<std::string>& open) {
    if (done.count(name) > 0) return;
    if (!open.insert(name).second) invalid("fragment " + name + " spreads itself");
    const auto found = document_.fragments.find(name);
    if (found == document_.fragments.end()) invalid("no fragment is named " + name);
    check_spreads(found->second.selections, done, open);
    open.erase(name);
    done.insert(name);
  }
  void check_spreads(const std::vector<Selection>& selections, std::set<std::string>& done,
                     std::set<std::string>& open) {
    for (const auto& s : selections) {
      if (s.kind == Selection::Kind::spread) check_cycles(s.name, done, open);
      check_spreads(s.selections, done, open);
    }
  }

  void check(const std::vector<Directive>& directives) const {
    for (const auto& directive : directives) check(directive.arguments);
  }
  void check(const std::vector<Argument>& arguments) const {
    for (const auto& argument : arguments) check(argument.value);
  }
  void check(const Literal& literal) const {
    if (literal.kind == Literal::Kind::variable && declared_.count(literal.variable) == 0) {
      invalid("variable $" + literal.variable + " is not declared");
    }
    for (const auto& item : literal.items) check(item);
    check(literal.members);
  }

  // By @skip and @include.
  bool taken(const std::vector<Directive>& directives) const {
    check(directives);
    bool taken = true;
    for (const auto& directive : directives) {
      if (directive.name != "skip" && directive.name != "include") continue;
      if (directive.arguments.size() != 1 || directive.arguments[0].name != "if") {
        invalid("@" + directive.name + " needs the argument if");
      }
      const auto value = resolve(directive.arguments[0].value, variables_);
      if (!value || !value->boolean()) invalid("@" + directive.name + "(if:) needs a Boolean");
      taken = taken && *value->boolean() == (directive.name == "include");
    }
    return taken;
  }

  // `condition`: the type that the fields are for, where a fragment names one. Types are not known here, so
  // fields for two types are both paid for; only for one type must a key have one meaning.
  void collect(const std::vector<Selection>& selections, const std::string& condition, std::size_t depth,
               Groups& groups) {
    if (depth > limits_.depth) throw Error("QUERY_TOO_DEEP", "the operation is nested too deeply");
    for (const auto& s : selections) {
      if (++visited_ > limits_.fields) throw Error("QUERY_TOO_LARGE", "the operation has too many fields");
      if (!taken(s.directives)) continue;
      if (s.kind == Selection::Kind::spread) {
        const auto found = document_.fragments.find(s.name);
        if (found == document_.fragments.end()) invalid("no fragment is named " + s.name);
        if (taken(found->second.directives)) {
          collect(found->second.selections, depth > 1 ? found->second.condition : "", depth, groups);
        }
      } else if (s.kind == Selection::Kind::inlined) {
        collect(s.selections, s.name.empty() || depth == 1 ? condition : s.name, depth, groups);
      } else {
        check(s.arguments);
        const auto key = condition + '.' + s.key();
        auto at = std::find_if(groups.begin(), groups.end(), [&](const auto& g) { return g.first == key; });
        if (at == groups.end()) {
          groups.emplace_back(key, Group{&s, {}});
          at = groups.end() - 1;
        } else if (at->second.first->name != s.name || told(*at->second.first) != told(s)) {
          invalid("two fields that differ answer as " + s.key());
        }
        at->second.selections.push_back(&s.selections);
      }
    }
  }

  std::string told(const Selection& field) const {
    std::vector<std::string> parts;
    for (const auto& argument : field.arguments) {
      parts.push_back(argument.name + '=');
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
        throw Error("BAD_USER_INPUT", "argument " + argument.name + " of " + field.name + " is no size");
      }
      return std::ceil(size);
    }
    return cost.usual_size;
  }

  void add(const std::vector<const std::vector<Selection>*>& sets, double times, std::size_t depth) {
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
        throw Error("UNPRICED_FIELD", "field " + field.name + " has no cost here");
      } else {
        price_.units += here * (leaf ? costs_.leaf_cost : costs_.object_cost);
      }
      if (!leaf) add(group.selections, here, depth + 1);
    }
  }

  const Document& document_;
  const Variables& variables_;
  const Costs& costs_;
  const Limits& limits_;
  std::set<std::string> declared_;
  std::size_t visited_ = 0;
  Price price_;
};

}  // namespace

Price price(const Document& document, const Operation& operation, const Variables& variables,
            const Costs& costs, const Limits& limits) {
  return Pricer(document, operation, variables, costs, limits).whole(operation);
}

}  // namespace cranemux::graphql
