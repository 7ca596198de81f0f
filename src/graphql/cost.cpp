#include "graphql/cost.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <tuple>
#include <unordered_set>

namespace cranemux::graphql {
namespace {

constexpr double kMostSize = 1e9;

struct Sized {  // what a field above says of the lists below it
  std::vector<std::string_view> fields;
  double size = 1;
  bool operator==(const Sized&) const = default;
};

double weight_of(const Type& type) { return type.weight.value_or(type.composite() ? 1 : 0); }

struct SizedHash {
  std::size_t operator()(const std::pair<Members, Sized>& key) const {
    return SetHash{}(key.first) * 31 + static_cast<std::size_t>(key.second.size);
  }
};

class Pricer {
 public:
  Pricer(const Schema& schema, const Variables& variables, const CostOptions& options, const Limits& limits,
         Priced& out)
      : schema_(schema), variables_(variables), options_(options), budget_(limits.fields), out_(out) {}

  void run(const Operation& operation) {
    out_.root = schema_.root(operation.kind);
    // A mutation is a booking, whatever its fields are called: it may have an effect.
    out_.booking = operation.kind == OperationKind::mutation;
    Members members(&arena_);
    Spread spread(&arena_);
    collect(operation.selections, false, members, spread);
    out_.shape = shape(std::move(members), *out_.root, {});
    out_.units = std::max(0.0, out_.shape->cost);
  }

 private:
  // ---- variables ----
  void note(const Value& value) {
    if (value.kind == ValueKind::variable) {
      for (const auto& [name, told] : out_.went_by) {
        if (name == value.text) return;
      }
      out_.went_by.emplace_back(value.text, resolve(value, variables_));
    }
    for (const auto& item : value.items) note(item);
    for (const auto& member : value.members) note(member.value);
  }
  std::optional<json::Value> value_of(const Input& input, const List<Argument>& written) {
    for (const auto& argument : written) {
      if (argument.name == input.name) note(argument.value);
    }
    return argument_value(input, written, variables_);
  }

  bool taken(const List<Directive>& directives) {
    for (const auto& directive : directives) {
      if (directive.name != "include" && directive.name != "skip") continue;
      note(directive.arguments.front().value);
    }
    return is_taken(directives, variables_);
  }

  void collect(const List<Selection>& selections, bool shared, Members& into, Spread& spread) {
    collect_fields(
        budget_, selections, shared, [this](const Selection& s) { return taken(s.directives); }, into,
        spread);
  }

  // The same fields below the same type are worked out once, however often they are asked for.
  const Shape* shape(Members members, const Type& type, const Sized& sized) {
    sort_by_key(members);
    const bool shared = any_shared(members);
    std::pair<Members, Sized> key{std::move(members), sized};
    if (shared) {
      const auto known = known_.find(key);
      if (known != known_.end()) return known->second;
    }
    auto& made = out_.shapes.emplace_back(Shape{std::pmr::vector<Variant>(&out_.arena)});
    std::pmr::vector<const Type*> parents(&arena_);
    for (const auto& member : key.first) {
      if (member.parent != &type &&
          std::find(parents.begin(), parents.end(), member.parent) == parents.end()) {
        parents.push_back(member.parent);
      }
    }
    if (parents.empty()) {
      made.variants.reserve(1);
      add_variant(made, variant(key.first, {}, sized));
    } else {
      for (auto& objects : alike_objects(parents, type)) {
        auto one = variant(key.first, objects, sized);
        one.objects = std::move(objects);
        add_variant(made, std::move(one));
      }
    }
    if (shared) known_.emplace(std::move(key), &made);
    return &made;
  }

  static void add_variant(Shape& shape, Variant variant) {
    double cost = 0;
    for (const auto& entry : variant.entries) cost += cost_of(entry);
    shape.cost = shape.variants.empty() ? cost : std::max(shape.cost, cost);
    shape.variants.push_back(std::move(variant));
  }

  // The objects that a value may be, by which of the members they answer.
  std::vector<std::vector<const Type*>> alike_objects(const std::pmr::vector<const Type*>& parents,
                                                      const Type& type) {
    std::map<std::vector<bool>, std::vector<const Type*>> groups;
    for (const auto* object : type.possible) {
      budget_.spend(parents.size());
      std::vector<bool> answers;
      for (const auto* parent : parents) answers.push_back(parent->may_be(*object));
      groups[answers].push_back(object);
    }
    std::vector<std::vector<const Type*>> out;
    for (auto& [answers, objects] : groups) out.push_back(std::move(objects));
    return out;
  }

  // Does it book on any of these objects? Without any: on whatever its parent may be.
  static bool books(const Member& member, const std::vector<const Type*>& objects) {
    if (!member.field->booking || objects.empty()) return member.field->booking;
    return std::any_of(objects.begin(), objects.end(), [&](const Type* object) {
      const auto* answering = object->field(member.field->name);
      return answering && answering->booking;
    });
  }

  // `objects`: the types that the value may be, alike in which members they answer; none: any, where all
  // members are of the set's own type.
  Variant variant(const Members& members, const std::vector<const Type*>& objects, const Sized& sized) {
    Variant out{{}, std::pmr::vector<Entry>(&out_.arena)};
    Members mine(&arena_);
    const auto* set = &members;
    if (!objects.empty()) {
      for (const auto& member : members) {
        if (member.parent->may_be(*objects.front())) mine.push_back(member);
      }
      set = &mine;
    }
    out_.booking = out_.booking || std::any_of(set->begin(), set->end(),
                                               [&](const Member& member) { return books(member, objects); });
    out.entries.reserve(set->size());
    for (auto from = set->cbegin(); from != set->cend();) {
      const auto until = end_of_key(from, set->cend());
      out.entries.push_back(entry(&*from, static_cast<std::size_t>(until - from), sized));
      from = until;
    }
    return out;
  }

  Entry entry(const Member* members, std::size_t count, const Sized& sized) {
    const auto& node = *members->node;
    const auto& field = *members->field;
    Entry out;
    out.key = node.key();
    out.field = &field;
    out.own = field.weight.value_or(0);
    for (const auto& input : field.arguments) out.own += argument_cost(input, node.arguments);
    out.item_weight = weight_of(*field.type.named);
    Sized below;
    out.size = size_of(field, node, sized, below);
    if (!field.type.named->composite()) return out;
    Members merged(&arena_);
    Spread spread(&arena_);
    for (std::size_t i = 0; i < count; ++i) {
      collect(members[i].node->selections, members[i].shared, merged, spread);
    }
    out.below = shape(std::move(merged), *field.type.named, below);
    return out;
  }

  // ---- arguments ----
  double argument_cost(const Input& input, const List<Argument>& written) {
    if (!input.weight && input.type.named->kind != TypeKind::input) return 0;
    const auto value = value_of(input, written);
    return value ? input_cost(input, *value) : 0;
  }

  double input_cost(const Input& input, const json::Value& value) {
    if (value.is_null()) return 0;
    double out = input.weight.value_or(0);
    if (input.type.named->kind == TypeKind::input) out += object_cost(*input.type.named, value);
    return out;
  }

  double object_cost(const Type& type, const json::Value& value) {
    budget_.spend();
    double out = 0;
    if (const auto* items = value.array()) {
      for (const auto& item : *items) out += object_cost(type, item);
      return out;
    }
    if (!value.object()) return 0;
    out = weight_told(type);
    for (const auto& input : type.inputs) {
      if (const auto* member = value.find(input.name)) out += input_cost(input, *member);
    }
    return out;
  }
  static double weight_told(const Type& type) { return type.weight.value_or(1); }

  // ---- sizes ----
  double size_of(const Field& field, const Selection& node, const Sized& sized, Sized& below) {
    const bool from_above =
        std::find(sized.fields.begin(), sized.fields.end(), field.name) != sized.fields.end();
    double size = from_above ? sized.size : options_.usual_size;
    if (field.list) {
      const double told = told_size(field, node);
      if (!field.list->sized.empty()) {
        below = {field.list->sized, told};
      } else if (!from_above) {
        size = told;
      }
    }
    if (!field.type.list()) return 1;
    for (auto inner = field.type.items(); inner.list(); inner = inner.items()) size *= options_.usual_size;
    return std::min(size, kMostSize);
  }

  double told_size(const Field& field, const Selection& node) {
    const auto& list = *field.list;
    double most = -1;
    std::size_t told = 0;
    for (const bool by_default : {false, true}) {
      if (by_default && told > 0) break;
      for (const auto name : list.slicing) {
        const auto& input = *field.argument(name);
        const bool written = std::any_of(node.arguments.begin(), node.arguments.end(),
                                         [&](const auto& argument) { return argument.name == name; });
        if (written == by_default) continue;
        const auto value = value_of(input, node.arguments);
        if (!value || value->is_null()) continue;
        most = std::max(most, size_told(*value, name, node));
        ++told;
      }
    }
    if (list.require_one && !list.slicing.empty() && (told > 1 || (told == 0 && !list.assumed))) {
      throw Error(std::string(kInvalid),
                  "'" + std::string(node.name) + "' needs exactly one of its arguments " +
                      names(list.slicing) + ", which say how many come",
                  node.at);
    }
    return told > 0 ? most : list.assumed.value_or(options_.usual_size);
  }

  static std::string names(const std::vector<std::string_view>& all) {
    std::string out;
    for (const auto name : all) out += (out.empty() ? "'" : ", '") + std::string(name) + "'";
    return out;
  }

  static double size_told(const json::Value& value, std::string_view name, const Selection& node) {
    if (const auto* items = value.array()) return static_cast<double>(items->size());
    const double size = value.as_double(-1);
    if (!value.number() || !(size >= 0)) {
      throw Error(std::string(kBadInput),
                  "the argument '" + std::string(name) + "' of '" + std::string(node.name) +
                      "' says how many come: write 0 or more",
                  node.at);
    }
    return std::min(size, kMostSize);
  }

  const Schema& schema_;
  const Variables& variables_;
  const CostOptions& options_;
  Budget budget_;
  Priced& out_;
  std::byte first_[16 * 1024];
  std::pmr::monotonic_buffer_resource arena_{first_, sizeof first_};
  std::pmr::unordered_map<std::pair<Members, Sized>, const Shape*, SizedHash> known_{&arena_};
};

// ---- answers ----

class Settling {
 public:
  Settled run(const Priced& priced, const json::Value& answer) {
    const auto* data = answer.find("data");
    const auto* errors = answer.find("errors");
    if (!answer.object() || (!data && !errors)) {
      refuse("it has neither data nor errors");
    } else if (errors && (!errors->array() || errors->array()->empty())) {
      refuse("its errors are no list");
    } else if (data && !data->is_null()) {
      if (!data->object()) refuse("its data is no object");
      out_.units = value(*priced.shape, *data);
    } else if (!errors) {
      refuse("its data is null, and it tells of no error");
    }
    out_.fits = out_.why.empty();
    out_.units = std::max(0.0, out_.units);
    return std::move(out_);
  }

 private:
  void refuse(const std::string& why) {
    if (out_.why.empty()) out_.why = why;
  }

  // The cost of the fields of one object.
  double value(const Shape& shape, const json::Value& object) {
    if (!out_.why.empty()) return 0;
    const auto& members = *object.object();
    const auto* variant = variant_of(shape, object);
    if (!variant) {
      refuse(members.empty()
                 ? "an object is of no type that it may be"
                 : "it has a member '" + members.front().first + "' or another that nobody asked for");
      return 0;
    }
    double cost = 0;
    for (const auto& entry : variant->entries) {
      const auto* member = object.find(entry.key);
      if (!member) continue;
      cost += entry.own + member_cost(entry, *member, entry.field->type);
    }
    return cost;
  }

  double member_cost(const Entry& entry, const json::Value& member, const TypeUse& type) {
    if (member.is_null()) return 0;
    if (type.list()) {
      if (!member.array()) {
        refuse("'" + std::string(entry.key) + "' is no list");
        return 0;
      }
      double cost = 0;
      for (const auto& item : *member.array()) cost += member_cost(entry, item, type.items());
      return cost;
    }
    if (entry.below) {
      if (!member.object()) {
        refuse("'" + std::string(entry.key) + "' is no object");
        return 0;
      }
      return entry.item_weight + value(*entry.below, member);
    }
    // A scalar of the schema's own may be anything.
    const auto& named = *entry.field->type.named;
    const bool own_scalar = named.kind == TypeKind::scalar && named.form == Form::any;
    if (!own_scalar && (member.array() || member.object()))
      refuse("'" + std::string(entry.key) + "' is no plain value");
    return entry.item_weight;
  }

  // By `__typename` where it was asked for, else the first one that has all the members.
  static const Variant* variant_of(const Shape& shape, const json::Value& object) {
    for (const auto& variant : shape.variants) {
      if (holds(variant, *object.object()) && may_be_named(variant, object)) return &variant;
    }
    return nullptr;
  }

  static bool holds(const Variant& variant, const json::Object& members) {
    return std::all_of(members.begin(), members.end(), [&](const auto& member) {
      const auto at =
          std::lower_bound(variant.entries.begin(), variant.entries.end(), member.first,
                           [](const Entry& entry, std::string_view key) { return key_less(entry.key, key); });
      return at != variant.entries.end() && at->key == member.first;
    });
  }

  static bool may_be_named(const Variant& variant, const json::Value& object) {
    for (const auto& entry : variant.entries) {
      if (entry.field->name != "__typename") continue;
      const auto* told = object.find(entry.key);
      if (!told || !told->string()) return true;
      return std::any_of(variant.objects.begin(), variant.objects.end(),
                         [&](const Type* type) { return type->name == *told->string(); });
    }
    return true;
  }

  Settled out_;
};

}  // namespace

double cost_of(const Entry& entry) {
  return entry.own + entry.size * (entry.item_weight + (entry.below ? entry.below->cost : 0));
}

std::shared_ptr<const Priced> price(const Schema& schema, const Operation& operation,
                                    const Variables& variables, const CostOptions& options,
                                    const Limits& limits) {
  auto out = std::make_shared<Priced>();
  Pricer(schema, variables, options, limits, *out).run(operation);
  return out;
}

bool same_price(const Priced& priced, const Variables& variables) {
  return std::all_of(priced.went_by.begin(), priced.went_by.end(), [&](const auto& one) {
    const auto at = variables.find(one.first);
    if (at == variables.end() || !one.second) return at == variables.end() && !one.second;
    return at->second == *one.second;
  });
}

Settled settle(const Priced& priced, const json::Value& answer) { return Settling().run(priced, answer); }

}  // namespace cranemux::graphql
