// HTTP/1.1 messages: finds a whole one at the start of a buffer that fills in pieces.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cranemux::http {

constexpr std::size_t kMostHead = 16 * 1024;
constexpr std::size_t kMostBody = 64 * 1024;
constexpr std::size_t kMostBuffer = kMostHead + 2 * kMostBody;

enum class Kind { request, response };
enum class State { whole, partial, bad };

struct Message {  // views into the buffer that was parsed, but for a body that came in chunks
  std::string_view method, target, version;
  int status = 0;
  std::vector<std::pair<std::string_view, std::string_view>> fields;
  std::string_view body;
  std::string chunked_body;
  std::size_t size = 0;  // of the whole message in the buffer
  bool keep_alive = true;

  std::optional<std::string_view> field(std::string_view name) const;  // by any case
};

struct Verdict {
  State state = State::partial;
  int status = 0;        // bad: what to answer
  std::size_t need = 0;  // partial: no use to look before the buffer holds so much
};

bool same_name(std::string_view a, std::string_view b);
std::string_view trim(std::string_view text);

// `ended`: no more will come (a response without a length then ends there).
Verdict parse(std::string_view buffer, Kind kind, Message& out, bool ended = false);
Verdict parse_head(std::string_view buffer, Kind kind, Message& out);  // `size` is the head's

// Moves the data of whole chunks from `in` (erased there) to `out`. `done` at the last chunk. False: damaged.
bool take_chunks(std::string& in, std::string& out, bool& done);

std::string_view reason(int status);

}  // namespace cranemux::http
