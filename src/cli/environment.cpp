#include <cstdlib>

#include "cli/commands.h"

namespace cranemux::cli {

std::optional<std::string> environment(const char* name) {
  const char* value = std::getenv(name);
  return value ? std::optional<std::string>(value) : std::nullopt;
}

}  // namespace cranemux::cli
