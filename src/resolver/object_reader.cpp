#include "resolver/object_reader.h"

#include <utility>

namespace cranemux::resolver {

bool ObjectReader::read_byte(char c) {
  if (in_string_) {
    if (static_cast<unsigned char>(c) < ' ') return false;
    in_string_ = escaped_ || c != '"';
    escaped_ = !escaped_ && c == '\\';
    return true;
  }
  switch (c) {
    case ' ':
    case '\t':
    case '\r':
      return true;
    case '\n':
      return depth_ == 0 || !std::exchange(empty_line_, true);
    case '{':
    case '[':
      empty_line_ = false;
      ++depth_;
      return true;
    case '}':
    case ']':
      empty_line_ = false;
      return depth_ > 0 && (--depth_, true);
    default:
      empty_line_ = false;
      in_string_ = c == '"';
      return depth_ > 0;
  }
}

ObjectReader::State ObjectReader::consume(std::string& text) {
  if (depth_ == 0) object_.clear();
  std::size_t at = 0;
  auto state = State::incomplete;
  while (state == State::incomplete && at < text.size()) {
    const bool was_inside = depth_ > 0;
    const bool valid = read_byte(text[at++]);
    if (was_inside || depth_ > 0) object_ += text[at - 1];
    if (!valid || object_.size() > max_object_bytes_) state = State::damaged;
    if (state == State::incomplete && was_inside && depth_ == 0) state = State::object;
  }
  text.erase(0, at);
  return state;
}

}  // namespace cranemux::resolver
