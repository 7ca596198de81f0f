#include "attempt/body_pipe.h"

#include <algorithm>

namespace cranemux::attempt {

void BodyPipe::put(std::string_view data) {
  if (data_.size() + data.size() > most_ && next_ > 0) {  // what has gone makes room
    data_.erase(0, next_);
    first_ += next_;
    next_ = 0;
  }
  data_ += data;
  tell(on_more);
}

void BodyPipe::end() {
  ended_ = true;
  tell(on_more);
}

void BodyPipe::break_off() {
  broken_ = !ended_;
  tell(on_more);
}

std::string BodyPipe::take(std::size_t most) {
  const bool was_full = full();
  auto piece = data_.substr(next_, most);
  next_ += piece.size();
  if (was_full && !full()) tell(on_room);
  return piece;
}

bool BodyPipe::rewind() {
  if (!repeatable()) return false;
  next_ = 0;
  return true;
}

std::optional<std::uint64_t> BodyPipe::length() const {
  if (length_) return length_;
  return ended_ ? std::optional(first_ + data_.size()) : std::nullopt;
}

}  // namespace cranemux::attempt
