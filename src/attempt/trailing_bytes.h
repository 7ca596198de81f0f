// What a worker sent behind the end of its answer, and whether the answer can still be trusted. Free of I/O.
#pragma once

#include <cstddef>
#include <string_view>

namespace cranemux::attempt {

enum class Trailing {
  none,
  repetition,   // the answer once more: the first copy is whole
  unexplained,  // the rest of a body whose length is told too short, another request's answer, or noise
};

// Fewer trailing bytes are no repetition: as many as "HTTP/1.1 200" has, so that more than a version agrees.
constexpr std::size_t kMinRepetition = 12;

// `answer`: its bytes from the status line on; those of its head are enough. `trailing`: what is known to
// follow it.
Trailing classify_trailing(std::string_view answer, std::string_view trailing);

}  // namespace cranemux::attempt
