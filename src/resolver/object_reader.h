// Splits the body of a watch into complete JSON objects, however they are broken into lines and wherever the
// stream of bytes is split. Free of I/O. Empty lines may stand between two objects only, and nothing else
// may: otherwise the stream is damaged, and the rest of it is not to be used.
#pragma once

#include <cstddef>
#include <string>

namespace cranemux::resolver {

class ObjectReader {
 public:
  enum class State { incomplete, object, damaged };

  explicit ObjectReader(std::size_t max_object_bytes) : max_object_bytes_(max_object_bytes) {}
  // Removes what it has read from the front of `text`. After State::object, object() is complete, and `text`
  // may hold more: to be called again, until State::incomplete or State::damaged.
  State consume(std::string& text);
  const std::string& object() const { return object_; }

 private:
  bool read_byte(char c);  // false: the stream is damaged

  const std::size_t max_object_bytes_;
  std::string object_;
  std::size_t depth_ = 0;
  bool in_string_ = false, escaped_ = false;
  bool empty_line_ = false;  // since the last line end there was only white space
};

}  // namespace cranemux::resolver
