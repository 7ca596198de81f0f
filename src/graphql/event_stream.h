// Server-sent events (WHATWG HTML, section 9.2.5) as GraphQL over server-sent events uses them in its mode of
// distinct connections (graphql-sse protocol, 2023): `next` with an answer each, then one `complete`.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace cranemux::graphql {

struct Event {
  std::string name, data;
};

// Finds events in bytes that come in pieces. Bounded: a line or an event past `most` bytes is damage.
class EventReader {
 public:
  explicit EventReader(std::size_t most = 64 * 1024) : most_(most) {}
  void feed(std::string_view bytes) { in_ += bytes; }
  std::optional<Event> next();  // none: more must come, or it is damaged
  bool damaged() const { return damaged_; }

 private:
  bool line(std::string& out);
  void take(const std::string& line);

  const std::size_t most_;
  std::string in_;
  Event now_;
  bool data_ = false, damaged_ = false;
};

// An event as it goes to a client. `data` is one line of JSON, or empty.
std::string event_text(std::string_view name, std::string_view data);
constexpr std::string_view kKeepAlive = ":\n\n";

}  // namespace cranemux::graphql
