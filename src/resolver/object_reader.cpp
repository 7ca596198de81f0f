#include "resolver/object_reader.h"

#include <utility>

namespace cranemux::resolver {

bool ObjectReader::byte(char c) {
  if (in_text_) {
    if (static_cast<unsigned char>(c) < ' ') return false;
    in_text_ = escaped_ || c != '"';
    escaped_ = !escaped_ && c == '\\';
    return true;
  }
  switch (c) {
    case ' ':
    case '\t':
    case '\r':
      return true;
    case '\n':
      return depth_ == 0 || !std::exchange(bare_line_, true);
    case '{':
    case '[':
      bare_line_ = false;
      ++depth_;
      return true;
    case '}':
    case ']':
      bare_line_ = false;
      return depth_ > 0 && (--depth_, true);
    default:
      bare_line_ = false;
      in_text_ = c == '"';
      return depth_ > 0;
  }
}

ObjectReader::State ObjectReader::consume(std::string& text) {
  if (depth_ == 0) object_.clear();
  std::size_t at = 0;
  auto state = State::incomplete;
  while (state == State::incomplete && at < text.size()) {
    const bool within = depth_ > 0;
    const bool good = byte(text[at++]);
    if (within || depth_ > 0) object_ += text[at - 1];
    if (!good || object_.size() > most_) state = State::damaged;
    if (state == State::incomplete && within && depth_ == 0) state = State::object;
  }
  text.erase(0, at);
  return state;
}

}  // namespace cranemux::resolver
