// What the fuzz targets share: the schema that they play against.
#pragma once

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <string>

#include "graphql/schema.h"

namespace cranemux::fuzz {

inline const graphql::Schema& schema() {
  static std::ifstream in(std::string(CRANEMUX_TEST_DATA) + "/courier.graphql");
  static const graphql::Schema made(std::string(std::istreambuf_iterator<char>(in), {}));
  return made;
}

inline void demand(bool so) {
  if (!so) std::abort();
}

}  // namespace cranemux::fuzz
