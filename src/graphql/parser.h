// Reads documents: executable ones, and the schema language. Bounded in bytes, tokens and depth.
#pragma once

#include <string>

#include "graphql/fault.h"

namespace cranemux::graphql {

// An executable document. What stands in it of the schema language is kept, for the rule that forbids it.
Document parse(std::string text, const Limits& limits = {});
// A schema, or a part of one. Bounds that a schema may need: 4 MiB, a million tokens.
Document parse_schema(std::string text);
std::string to_text(const TypeRef& type);
std::string to_text(const Value& value);

}  // namespace cranemux::graphql
