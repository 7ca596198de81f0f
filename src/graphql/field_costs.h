// What an operation costs where no schema is known: by the names of its fields, as a file lists them, and the
// sizes of its lists. Whether it books. What can be checked without a schema is checked, too.
#pragma once

#include <map>
#include <set>
#include <string>

#include "graphql/fault.h"
#include "graphql/values.h"

namespace cranemux::graphql {

struct FieldCost {
  double cost = 1;
  bool booking = false;
  std::string size_argument;  // a number, or a list, that tells how many items come; none: not a list
  double usual_size = 10;     // where that argument is absent
};

struct Costs {
  std::map<std::string, FieldCost, std::less<>> fields;  // by name; a field at the root must be one of them
  double object_cost = 1, leaf_cost = 0;  // of other fields, with and without a selection of their own
};

struct FieldPrice {
  double units = 0;
  bool booking = false;
};

// Throws Error where two definitions, variables or arguments share a name.
void check_names(const Document& document);
// Throws Error where the operation is invalid: unknown or cyclic fragments, undeclared variables, conflicts.
FieldPrice price_by_fields(const Document& document, const Operation& operation, const Variables& variables,
                           const Costs& costs, const Limits& limits);

}  // namespace cranemux::graphql
