// Field Selection Merging (section 5.3.2). Not by pairs, which a hostile document makes quadratic, but by
// sets: all fields that answer under one key are held against the first, and their selections are merged and
// looked at once, as in S. Adameit, "Overlapping fields can be merged, fast" (2018). A set of fields that has
// been seen is not seen again, so fragments that spread others twice do not double the work.
#include <algorithm>
#include <set>
#include <unordered_set>

#include "graphql/parser.h"
#include "graphql/validator.h"

namespace cranemux::graphql {

struct Merging::Member {  // a field as it stands in a merged set
  const Selection* node;
  const Type* parent;
  const Field* field;
  bool operator<(const Member& other) const {
    return std::tie(node, parent) < std::tie(other.node, other.parent);
  }
  bool operator==(const Member& other) const { return node == other.node && parent == other.parent; }
};

namespace {

bool same_value(const Value& a, const Value& b, Budget& budget);

bool same_arguments(const std::vector<Argument>& a, const std::vector<Argument>& b, Budget& budget) {
  if (a.size() != b.size()) return false;
  if (a.empty()) return true;
  const auto sorted = [](const std::vector<Argument>& arguments) {
    std::vector<const Argument*> out;
    for (const auto& argument : arguments) out.push_back(&argument);
    std::sort(out.begin(), out.end(), [](const auto* x, const auto* y) { return x->name < y->name; });
    return out;
  };
  const auto mine = sorted(a), theirs = sorted(b);
  for (std::size_t i = 0; i < mine.size(); ++i) {
    if (mine[i]->name != theirs[i]->name || !same_value(mine[i]->value, theirs[i]->value, budget))
      return false;
  }
  return true;
}

bool same_value(const Value& a, const Value& b, Budget& budget) {
  constexpr std::size_t kBytesAStep = 64;
  budget.spend(1 + a.text.size() / kBytesAStep);
  if (a.kind != b.kind || a.text != b.text || a.items.size() != b.items.size()) return false;
  for (std::size_t i = 0; i < a.items.size(); ++i) {
    if (!same_value(a.items[i], b.items[i], budget)) return false;
  }
  return same_arguments(a.members, b.members, budget);
}

bool same_shape(const TypeUse& a, const TypeUse& b) {
  if (a.around != b.around) return false;
  return a.named == b.named || (a.named->composite() && b.named->composite());
}

}  // namespace

struct Merging::Pass {
  enum What { shapes = 1, meanings = 2 };  // bits
  Merging& outer;
  std::set<std::pair<int, std::vector<Member>>> seen;
  std::optional<Fault> found;

  void collect(const std::vector<Selection>& selections, const Type* parent, std::vector<Member>& into,
               std::unordered_set<std::string_view>& spread) {
    for (const auto& s : selections) {
      outer.budget_.spend();
      if (s.kind == SelectionKind::field) {
        if (!parent) continue;
        const auto* field = outer.schema_.field(*parent, s.name);
        if (field) into.push_back({&s, parent, field});
      } else if (s.kind == SelectionKind::inlined) {
        collect(s.selections, s.name.empty() ? parent : outer.schema_.type(s.name), into, spread);
      } else if (spread.insert(s.name).second) {
        const auto at = outer.fragments_.find(s.name);
        if (at == outer.fragments_.end()) continue;
        collect(at->second->selections, outer.schema_.type(at->second->condition), into, spread);
      }
    }
  }

  void children(const std::vector<Member>& members, int what) {
    std::vector<Member> merged;
    std::unordered_set<std::string_view> spread;
    for (const auto& member : members)
      collect(member.node->selections, member.field->type.named, merged, spread);
    if (!merged.empty()) look(std::move(merged), what);
  }

  void look(std::vector<Member> members, int what) {
    std::sort(members.begin(), members.end());
    members.erase(std::unique(members.begin(), members.end()), members.end());
    if (found || !seen.emplace(what, members).second) return;
    std::stable_sort(members.begin(), members.end(),
                     [](const auto& a, const auto& b) { return a.node->key() < b.node->key(); });
    for (auto from = members.begin(); from != members.end() && !found;) {
      const auto until = std::find_if(
          from, members.end(), [&](const auto& member) { return member.node->key() != from->node->key(); });
      group({from, until}, what);
      from = until;
    }
  }

  void group(std::vector<Member> members, int what) {
    // By place in the document, so that the message names the first.
    std::sort(members.begin(), members.end(), [](const auto& a, const auto& b) {
      return std::tie(a.node->at.line, a.node->at.column) < std::tie(b.node->at.line, b.node->at.column);
    });
    if ((what & shapes) != 0) {
      for (const auto& member : members) {
        if (!same_shape(members.front().field->type, member.field->type))
          return conflict(members.front(), member, true);
      }
    }
    const bool one_parent = std::all_of(members.begin(), members.end(), [&](const auto& member) {
      return member.parent->abstract() || member.parent == members.front().parent;
    });
    if ((what & meanings) == 0 || one_parent) {
      if ((what & meanings) != 0 && !same_meaning(members)) return;
      return children(members, what);
    }
    if ((what & shapes) != 0) children(members, shapes);
    by_parent(members);
  }

  // Fields of two object types never meet in one answer; those of interfaces meet with each.
  void by_parent(const std::vector<Member>& members) {
    std::set<const Type*> objects;
    for (const auto& member : members) {
      if (!member.parent->abstract()) objects.insert(member.parent);
    }
    for (const auto* object : objects) {
      std::vector<Member> together;
      for (const auto& member : members) {
        outer.budget_.spend();
        if (member.parent->abstract() || member.parent == object) together.push_back(member);
      }
      if (found || !same_meaning(together)) return;
      children(together, meanings);
    }
  }

  bool same_meaning(const std::vector<Member>& members) {
    const auto& first = members.front();
    for (const auto& member : members) {
      if (member.node == first.node) continue;
      if (member.node->name == first.node->name &&
          same_arguments(member.node->arguments, first.node->arguments, outer.budget_)) {
        continue;
      }
      conflict(first, member, false);
      return false;
    }
    return true;
  }

  void conflict(const Member& a, const Member& b, bool by_type) {
    const auto key = std::string(a.node->key());
    std::string why = by_type ? "one is " + to_text(a.field->type) + ", the other " + to_text(b.field->type)
                      : a.node->name != b.node->name
                          ? "'" + std::string(a.node->name) + "' and '" + std::string(b.node->name) +
                                "' are different fields"
                          : "their arguments differ";
    found = Fault{Rule::field_selection_merging,
                  {a.node->at, b.node->at},
                  "two fields answer as '" + key + "': " + why +
                      "; give one of them another name, as in 'other: " + std::string(b.node->name) + "'"};
  }
};

Merging::~Merging() = default;

std::optional<Fault> Merging::check(const std::vector<Selection>& selections, const Type* parent) {
  Pass pass{*this, {}, std::nullopt};
  std::vector<Member> members;
  std::unordered_set<std::string_view> spread;
  pass.collect(selections, parent, members, spread);
  if (!members.empty()) pass.look(std::move(members), Pass::shapes | Pass::meanings);
  return std::move(pass.found);
}

}  // namespace cranemux::graphql
