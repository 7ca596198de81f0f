// Checks an executable document against a schema: every rule of section 5. The work is bounded by the
// document's size and by `limits.fields`, whatever its fragments share.
#pragma once

#include <unordered_map>
#include <vector>

#include "graphql/rules.h"
#include "graphql/schema.h"

namespace cranemux::graphql {

// Steps that a check may take; past them the document is too large.
class Budget {
 public:
  explicit Budget(std::size_t steps) : left_(steps) {}
  void spend(std::size_t steps = 1);  // throws Error with QUERY_TOO_LARGE

 private:
  std::size_t left_;
};

using Fragments = std::unordered_map<std::string_view, const Fragment*>;

// Up to 20 faults, in the order found; none: the document is valid. Throws Error where it is too large to
// check.
std::vector<Fault> validate(const Schema& schema, const Document& document, const Limits& limits,
                            const RuleSet& left_out = {});

// Field Selection Merging alone (section 5.3.2); cycles through fragments are skipped.
class Merging {
 public:
  Merging(const Schema& schema, const Fragments& fragments, Budget& budget)
      : schema_(schema), fragments_(fragments), budget_(budget) {}
  ~Merging();
  // The first conflict in that selection set, if there is one.
  std::optional<Fault> check(const std::vector<Selection>& selections, const Type* parent);

 private:
  struct Member;
  struct Pass;
  const Schema& schema_;
  const Fragments& fragments_;
  Budget& budget_;
};

}  // namespace cranemux::graphql
