// Selection sets with their fragments spread: what field merging, pricing and settling look at. Working
// memory comes from one arena and goes at once.
#pragma once

#include <algorithm>
#include <memory_resource>
#include <unordered_map>
#include <vector>

#include "graphql/schema.h"

namespace cranemux::graphql {

// Steps that a check may take; past them the document is too large.
class Budget {
 public:
  explicit Budget(std::size_t steps) : left_(steps) {}
  void spend(std::size_t steps = 1) {
    if (steps > left_) over();
    left_ -= steps;
  }

 private:
  [[noreturn]] static void over();  // throws Error with QUERY_TOO_LARGE
  std::size_t left_;
};

class FragmentIndex {
 public:
  explicit FragmentIndex(const Document& document);
  const Fragment* find(std::string_view name) const {  // the first of that name
    const auto at = by_name_.find(name);
    return at == by_name_.end() ? nullptr : at->second.fragment;
  }

 private:
  void count(const List<Selection>& selections);
  std::unordered_map<std::string_view, SpreadFragment> by_name_;
};

struct Member {  // a field as it stands in a merged set
  const Selection* node;
  const Type* parent;
  const Field* field;
  bool shared;  // may be met in other sets, too
  bool operator==(const Member& other) const { return node == other.node; }
};
using Members = std::pmr::vector<Member>;
using Spread = std::pmr::vector<const Fragment*>;

// CollectFields (section 6.3.2) without regard to types: each field with the type that it was selected on, as
// the validator found them; those that do not exist are passed over. `taken` says whether a selection with
// directives counts.
template <typename Taken>
void collect_fields(Budget& budget, const List<Selection>& selections, bool shared, const Taken& taken,
                    Members& into, Spread& spread) {
  if (into.empty()) into.reserve(selections.size());
  for (const auto& s : selections) {
    budget.spend();
    if (!s.directives.empty() && !taken(s)) continue;
    if (s.kind == SelectionKind::field) {
      if (s.field) into.push_back({&s, s.type, s.field, shared});
    } else if (s.kind == SelectionKind::inlined) {
      if (s.type) collect_fields(budget, s.selections, shared, taken, into, spread);
    } else if (s.spread) {
      const auto& fragment = *s.spread->fragment;
      if (std::find(spread.begin(), spread.end(), &fragment) != spread.end()) continue;
      budget.spend(spread.size() / 8);
      spread.push_back(&fragment);
      // Spread more than once: what it selects may be met in several sets.
      collect_fields(budget, fragment.selections, shared || s.spread->spreads > 1, taken, into, spread);
    }
  }
}

// Any total order will do: by length first, which mostly decides.
inline bool key_less(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) return a.size() < b.size();
  return a.front() != b.front() ? a.front() < b.front() : a < b;
}
// Names are never empty, and most differ in their first character.
inline bool same_key(std::string_view a, std::string_view b) {
  return a.size() == b.size() && a.front() == b.front() && a == b;
}
// By key, those of one key in the order that they were met in, none twice.
void sort_by_key(Members& members);
// The end of the run of one key that begins there.
inline Members::const_iterator end_of_key(Members::const_iterator from, Members::const_iterator end) {
  const auto key = from->node->key();
  while (from != end && same_key(from->node->key(), key)) ++from;
  return from;
}

// Sets that have been met before, by their members; only those with shared members need to be looked up.
struct SetHash {
  std::size_t operator()(const Members& members) const {
    std::size_t out = members.size();
    for (const auto& member : members)
      out = out * 1099511628211U + reinterpret_cast<std::uintptr_t>(member.node);
    return out;
  }
};
inline bool any_shared(const Members& members) {
  for (const auto& member : members) {
    if (member.shared) return true;
  }
  return false;
}

}  // namespace cranemux::graphql
