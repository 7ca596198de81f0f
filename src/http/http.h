// HTTP/1.1 messages: finds a whole one at the start of a buffer that fills in pieces.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cranemux::http {

constexpr std::size_t kMostHead = 16 * 1024;
constexpr std::size_t kMostBody = 64 * 1024;
constexpr std::uint64_t kMostLong = 64 * 1024 * 1024;  // told of a body that is passed on as it comes
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

// How a message's body is bounded.
struct Framing {
  enum class Kind { none, length, chunked, until_end };
  Kind kind = Kind::none;
  std::uint64_t length = 0;
  bool operator==(const Framing&) const = default;
};
// Of a message whose head has been read. None: it is ambiguous or not known here, and `status` says what to
// answer.
std::optional<Framing> framing(const Message& head, Kind kind, int& status);

// Reads a body of any size as it comes.
class BodyReader {
 public:
  enum class State { more, done, bad };
  explicit BodyReader(const Framing& framing)
      : framing_(framing), left_(framing.kind == Framing::Kind::length ? framing.length : 0) {}
  // Moves data from the start of `in` to the end of `out`. What comes after the body stays in `in`.
  // `ended`: nothing more will come.
  State take(std::string& in, std::string& out, bool ended = false);
  // Bytes that are still to be taken. None where no length was told.
  std::optional<std::uint64_t> length_left() const {
    return framing_.kind == Framing::Kind::length ? std::optional(left_) : std::nullopt;
  }

 private:
  enum class Part { size, data, end, trailer };  // of a chunk
  State take_chunked(std::string& in, std::string& out, bool ended);
  bool size_line(std::string_view line);

  const Framing framing_;
  std::uint64_t left_;  // of the body, or of the chunk
  Part part_ = Part::size;
  std::size_t trailers_ = 0;
};

// Moves the data of whole chunks from `in` (erased there) to `out`. `done` at the last chunk. False: damaged,
// or one of more than `most` bytes.
bool take_chunks(std::string& in, std::string& out, bool& done, std::size_t most = kMostBuffer);

std::string_view reason(int status);

}  // namespace cranemux::http
