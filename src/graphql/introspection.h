// Introspection (section 4), answered from the schema: what a server would answer, without asking one.
#pragma once

#include "graphql/field_sets.h"
#include "graphql/values.h"

namespace cranemux::graphql {

struct IntrospectionLimits {
  std::size_t values = 50'000, bytes = 512 * 1024;  // of one answer
};

// Of an operation's root fields. `name`: `__typename` alone, which tells nothing of the schema. `some`:
// `__schema` or
// `__type` beside fields of the service's own.
enum class Introspection : std::uint8_t { none, name, some, all };
Introspection introspection_of(const FragmentIndex& fragments, const Operation& operation);

// The answer to an operation of introspection alone, `{"data":…}`. The document is valid, its variables
// coerced. Throws Error with QUERY_TOO_LARGE past the limits.
std::string introspect(const Schema& schema, const FragmentIndex& fragments, const Operation& operation,
                       const Variables& variables, const IntrospectionLimits& limits = {});

}  // namespace cranemux::graphql
