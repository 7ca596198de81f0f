#include "graphql/field_sets.h"

namespace cranemux::graphql {

void Budget::over() {
  throw Error(std::string(kTooLarge), "the document takes too many steps to check: ask for less at once");
}

FragmentIndex::FragmentIndex(const Document& document) {
  if (document.fragments.empty()) return;
  by_name_.reserve(document.fragments.size());
  for (const auto& fragment : document.fragments)
    by_name_.emplace(fragment.name, SpreadFragment{&fragment, 0});
  for (const auto& operation : document.operations) count(operation.selections);
  for (const auto& fragment : document.fragments) count(fragment.selections);
}

void FragmentIndex::count(const List<Selection>& selections) {
  for (const auto& s : selections) {
    if (s.kind == SelectionKind::spread) {
      const auto at = by_name_.find(s.name);
      s.spread = at == by_name_.end() ? nullptr : &at->second;
      if (s.spread) ++at->second.spreads;
    }
    count(s.selections);
  }
}

void sort_by_key(Members& members) {
  const auto less = [](const Member& a, const Member& b) {
    const auto mine = a.node->key(), theirs = b.node->key();
    return same_key(mine, theirs) ? a.node < b.node : key_less(mine, theirs);
  };
  std::sort(members.begin(), members.end(), less);
  members.erase(std::unique(members.begin(), members.end()), members.end());
}

}  // namespace cranemux::graphql
