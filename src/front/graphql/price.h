// What an operation costs, by its fields and the sizes of its lists, and whether it books.
#pragma once

#include <map>
#include <set>
#include <string>

#include "front/graphql/document.h"

namespace cranemux::graphql {

struct FieldCost {
  double cost = 1;
  bool booking = false;
  std::string size_argument;  // a number, or a list, that tells how many items come; none: not a list
  double usual_size = 10;     // where that argument is absent
};

struct Costs {
  std::map<std::string, FieldCost> fields;  // by name; a field at the root must be one of them
  double object_cost = 1, leaf_cost = 0;    // of other fields, with and without a selection of their own
};

struct Price {
  double units = 0;
  bool booking = false;
};

// Throws Error where the operation is invalid: unknown or cyclic fragments, undeclared variables, conflicts.
Price price(const Document& document, const Operation& operation, const Variables& variables,
            const Costs& costs, const Limits& limits);

}  // namespace cranemux::graphql
