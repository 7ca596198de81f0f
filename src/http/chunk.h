// A part of a body as a chunk, for a receiver that is not told its length.
#pragma once

#include <cstdio>
#include <string>

namespace cranemux::http {

// `last`: the body ends with it; then `data` may be empty.
inline std::string chunk(std::string&& data, bool last) {
  if (!data.empty()) {
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", data.size());
    data.insert(0, size).append("\r\n");
  }
  if (last) data.append("0\r\n\r\n");
  return std::move(data);
}

}  // namespace cranemux::http
