#include "graphql/event_stream.h"

#include <utility>

namespace cranemux::graphql {

// A line ends with `\n`, `\r\n` or `\r`; a `\r` at the end may yet be half of an end.
bool EventReader::line(std::string& out) {
  const auto end = in_.find_first_of("\r\n");
  if (end == std::string::npos || (in_[end] == '\r' && end + 1 == in_.size())) {
    damaged_ = damaged_ || in_.size() > most_;
    return false;
  }
  out = in_.substr(0, end);
  in_.erase(0, end + (in_[end] == '\r' && in_[end + 1] == '\n' ? 2 : 1));
  return true;
}

void EventReader::take(const std::string& line) {
  const auto colon = line.find(':');
  if (colon == 0) return;  // a comment
  const auto field = line.substr(0, colon);
  auto value = colon == std::string::npos ? std::string() : line.substr(colon + 1);
  if (value.starts_with(' ')) value.erase(0, 1);
  if (field == "event") now_.name = value;
  if (field != "data") return;
  if (data_) now_.data += '\n';
  now_.data += value;
  data_ = true;
  damaged_ = damaged_ || now_.data.size() > most_;
}

std::optional<Event> EventReader::next() {
  std::string text;
  while (!damaged_ && line(text)) {
    if (!text.empty()) {
      take(text);
      continue;
    }
    // `complete` comes without data, too.
    const bool whole = data_ || now_.name == "complete";
    auto out = std::exchange(now_, {});
    data_ = false;
    if (whole) return out;
  }
  return std::nullopt;
}

std::string event_text(std::string_view name, std::string_view data) {
  std::string out = "event: ";
  out.append(name).append("\ndata:");
  if (!data.empty()) out.append(" ").append(data);
  return out + "\n\n";
}

}  // namespace cranemux::graphql
