// What is wrong with a request, a document or a schema.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "graphql/ast.h"

namespace cranemux::graphql {

// The first thing that ends the reading of a request; what() says what to write instead where that is known.
struct Error : std::runtime_error {
  Error(std::string code_, const std::string& what, Place at_ = {})
      : std::runtime_error(what), code(std::move(code_)), at(at_) {}
  std::string code;
  Place at;  // line 0: of no one place
};

struct Limits {
  std::size_t bytes = 32 * 1024, depth = 16, tokens = 4000, batch = 16;
  std::size_t fields = 10'000;  // selections visited when a document is checked or priced
  std::size_t aliases = 500, directives = 500, fragments = 200;
};

constexpr std::string_view kParseFailed = "GRAPHQL_PARSE_FAILED";
constexpr std::string_view kInvalid = "GRAPHQL_VALIDATION_FAILED";
constexpr std::string_view kTooLarge = "QUERY_TOO_LARGE", kTooDeep = "QUERY_TOO_DEEP";
constexpr std::string_view kBadInput = "BAD_USER_INPUT";

}  // namespace cranemux::graphql
