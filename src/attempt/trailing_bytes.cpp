#include "attempt/trailing_bytes.h"

#include <algorithm>

namespace cranemux::attempt {

Trailing classify_trailing(std::string_view answer, std::string_view trailing) {
  if (trailing.empty()) return Trailing::none;
  const auto common = std::min(answer.size(), trailing.size());
  if (common < kMinRepetition || answer.substr(0, common) != trailing.substr(0, common)) {
    return Trailing::unexplained;
  }
  return Trailing::repetition;
}

}  // namespace cranemux::attempt
