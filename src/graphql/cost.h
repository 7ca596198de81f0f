// What an operation costs, from the schema's cost directives, and what its answer truly cost, by the same
// rules.
//
// After "The GraphQL Cost Directives Specification" (IBM, draft of 2021), in one figure:
// - each object that comes costs its type's weight: `@cost` on the type, else 1; scalars and enums likewise,
// else 0;
// - each time a field is asked for costs its own weight and its arguments', where `@cost` tells them; an
// input
//   object's fields count where they are given, and each input object 1 where nothing else is told;
// - a list holds what its slicing argument says (the largest, of several), else `assumedSize`, else
// `usual_size`.
//   `sizedFields` say that not this field is the list but those below it;
// - where a value may be of several types, the dearest counts.
// Selections that @skip or @include leave out cost nothing. Fragments that are shared are worked out once.
#pragma once

#include <deque>
#include <memory>
#include <memory_resource>

#include "graphql/validator.h"
#include "graphql/values.h"

namespace cranemux::graphql {

struct Shape;
struct Entry {  // one member of an answer's object
  std::string_view key;
  const Field* field = nullptr;
  double own = 0;                // the field's and its arguments' weight
  double size = 1;               // of the list, all its levels together; 1 where it is none
  double item_weight = 0;        // of one item's type
  const Shape* below = nullptr;  // none: a leaf
};
double cost_of(const Entry& entry);  // with all below it
struct Variant {                     // what a value of these objects answers with
  std::vector<const Type*> objects;
  std::pmr::vector<Entry> entries;  // in the order of key_less()
};
struct Shape {
  std::pmr::vector<Variant> variants;
  double cost = 0;  // of the fields of one value, the dearest variant's
};

// An operation with its variables put in, priced. Keeps nothing alive: the schema and the document must
// outlast it.
struct Priced {
  double units = 0;
  bool booking = false;  // a mutation, or one with a field that books on some object: runs once at most
  const Type* root = nullptr;
  const Shape* shape = nullptr;
  std::pmr::monotonic_buffer_resource arena;
  std::pmr::deque<Shape> shapes{&arena};  // `shape` and all below it
  // The variables that the price went by: with the same values it is the same.
  std::vector<std::pair<std::string_view, std::optional<json::Value>>> went_by;
};

struct CostOptions {
  double usual_size = 10;
};

// The operation is of a valid document, whose index is there. Throws Error: BAD_USER_INPUT for a size that is
// none, GRAPHQL_VALIDATION_FAILED where one slicing argument is wanted and another number is given,
// QUERY_TOO_LARGE past the budget.
std::shared_ptr<const Priced> price(const Schema& schema, const Operation& operation,
                                    const Variables& variables, const CostOptions& options,
                                    const Limits& limits);
// Is that the price with these variables, too?
bool same_price(const Priced& priced, const Variables& variables);

// Does an answer fit, and what did it cost? `answer` is the whole: data, errors, extensions.
struct Settled {
  bool fits = false;
  std::string why;   // where it does not
  double units = 0;  // at most the operation's price times what its lists truly held
};
Settled settle(const Priced& priced, const json::Value& answer);

}  // namespace cranemux::graphql
