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

namespace {

bool same_value(const Value& a, const Value& b, Budget& budget);

bool same_arguments(const List<Argument>& a, const List<Argument>& b, Budget& budget) {
  if (a.size() != b.size()) return false;
  if (a.empty()) return true;
  const auto sorted = [](const List<Argument>& arguments) {
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

class Pass {
 public:
  explicit Pass(Budget& budget) : budget_(budget), seen_{Seen(&arena_), Seen(&arena_), Seen(&arena_)} {}

  std::optional<Fault> run(const List<Selection>& selections) {
    Members members(&arena_);
    Spread spread(&arena_);
    collect(selections, false, members, spread);
    look(std::move(members), shapes | meanings);
    return std::move(found_);
  }

 private:
  enum What { shapes = 1, meanings = 2 };  // bits
  using Seen = std::pmr::unordered_set<Members, SetHash>;

  void collect(const List<Selection>& selections, bool shared, Members& into, Spread& spread) {
    collect_fields(
        budget_, selections, shared, [](const Selection&) { return true; }, into, spread);
  }

  void children(const Member* from, const Member* until, int what) {
    Members merged(&arena_);
    Spread spread(&arena_);
    for (; from != until; ++from) {
      collect(from->node->selections, from->shared, merged, spread);
    }
    look(std::move(merged), what);
  }

  void look(Members members, int what) {
    if (members.empty() || found_) return;
    if (all_differ(members)) {  // as in most sets: nothing is merged
      for (const auto& member : members) {
        if (!member.node->selections.empty()) children(&member, &member + 1, what);
      }
      return;
    }
    sort_by_key(members);
    if (any_shared(members) && !seen_[static_cast<std::size_t>(what) - 1].insert(members).second) return;
    for (auto from = members.cbegin(); from != members.cend() && !found_;) {
      const auto until = end_of_key(from, members.cend());
      group(&*from, &*from + (until - from), what);
      from = until;
    }
  }

  // A set in which nothing answers under one key, and that is met once; for small ones, where a look costs
  // least.
  static bool all_differ(const Members& members) {
    constexpr std::size_t kSmall = 12;
    if (members.size() > kSmall || any_shared(members)) return false;
    for (std::size_t i = 1; i < members.size(); ++i) {
      for (std::size_t j = 0; j < i; ++j) {
        if (same_key(members[i].node->key(), members[j].node->key())) return false;
      }
    }
    return true;
  }

  void group(const Member* from, const Member* until, int what) {
    if (until - from == 1) {
      if (!from->node->selections.empty()) children(from, until, what);
      return;
    }
    if ((what & shapes) != 0) {
      for (const auto* member = from; member != until; ++member) {
        if (!same_shape(from->field->type, member->field->type)) return conflict(*from, *member, true);
      }
    }
    const bool one_parent = std::all_of(from, until, [&](const Member& member) {
      return member.parent->abstract() || member.parent == from->parent;
    });
    if ((what & meanings) == 0 || one_parent) {
      if ((what & meanings) != 0 && !same_meaning(from, until)) return;
      return children(from, until, what);
    }
    if ((what & shapes) != 0) children(from, until, shapes);
    by_parent(from, until);
  }

  // Fields of two object types never meet in one answer; those of interfaces meet with each.
  void by_parent(const Member* from, const Member* until) {
    std::set<const Type*> objects;
    for (const auto* member = from; member != until; ++member) {
      if (!member->parent->abstract()) objects.insert(member->parent);
    }
    for (const auto* object : objects) {
      Members together(&arena_);
      for (const auto* member = from; member != until; ++member) {
        budget_.spend();
        if (member->parent->abstract() || member->parent == object) together.push_back(*member);
      }
      const auto *first = together.data(), *last = first + together.size();
      if (found_ || !same_meaning(first, last)) return;
      children(first, last, meanings);
    }
  }

  bool same_meaning(const Member* from, const Member* until) {
    for (const auto* member = from + 1; member < until; ++member) {
      if (member->node == from->node) continue;
      if (member->node->name == from->node->name &&
          same_arguments(member->node->arguments, from->node->arguments, budget_)) {
        continue;
      }
      conflict(*from, *member, false);
      return false;
    }
    return true;
  }

  void conflict(const Member& one, const Member& two, bool by_type) {
    // The first of the document is named first.
    const auto place = [](const Member& m) { return std::pair(m.node->at.line, m.node->at.column); };
    const auto& a = place(one) <= place(two) ? one : two;
    const auto& b = &a == &one ? two : one;
    const auto why = by_type ? "one is " + to_text(a.field->type) + ", the other " + to_text(b.field->type)
                     : a.node->name != b.node->name ? "'" + std::string(a.node->name) + "' and '" +
                                                          std::string(b.node->name) + "' are different fields"
                                                    : "their arguments differ";
    found_ = Fault{Rule::field_selection_merging,
                   {a.node->at, b.node->at},
                   "two fields answer as '" + std::string(a.node->key()) + "': " + why +
                       "; give one of them another name, as in 'other: " + std::string(b.node->name) + "'"};
  }

  Budget& budget_;
  std::byte first_[16 * 1024];
  std::pmr::monotonic_buffer_resource arena_{first_, sizeof first_};
  Seen seen_[3];  // by what was looked for
  std::optional<Fault> found_;
};

}  // namespace

std::optional<Fault> find_conflict(Budget& budget, const List<Selection>& selections) {
  return Pass(budget).run(selections);
}

}  // namespace cranemux::graphql
