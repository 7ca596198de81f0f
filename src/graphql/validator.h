// Checks an executable document against a schema: every rule of section 5. The work is bounded by the
// document's size and by `limits.fields`, whatever its fragments share.
#pragma once

#include <vector>

#include "graphql/field_sets.h"
#include "graphql/rules.h"

namespace cranemux::graphql {

// Up to 20 faults, in the order found; none: the document is valid. Throws Error where it is too large to
// check.
std::vector<Fault> validate(const Schema& schema, const Document& document, const FragmentIndex& fragments,
                            const Limits& limits, const RuleSet& left_out = {});

// Field Selection Merging alone (section 5.3.2), of a document whose other rules have been checked: the first
// conflict in that selection set, if there is one.
std::optional<Fault> find_conflict(Budget& budget, const List<Selection>& selections);

}  // namespace cranemux::graphql
