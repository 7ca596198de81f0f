// Any bytes as a body that is read as it comes: in one piece or in many, the same comes out, and nothing is
// invented.
#include "http/http.h"
#include "target.h"

namespace {

using cranemux::http::BodyReader;
using cranemux::http::Framing;
using State = BodyReader::State;

struct Read {
  State state = State::more;
  std::string body, rest;
};

Read read(const Framing& framing, std::string_view text, std::size_t piece) {
  BodyReader reader(framing);
  Read out;
  std::string in;
  for (std::size_t at = 0; at < text.size() && out.state == State::more; at += piece) {
    in += text.substr(at, piece);
    out.state = reader.take(in, out.body);
    if (out.state != State::more && at + piece < text.size()) in += text.substr(at + piece);
  }
  out.rest = in;
  return out;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size < 2) return 0;
  const std::string_view text(reinterpret_cast<const char*>(data) + 2, size - 2);
  Framing framing;
  framing.kind = data[0] % 3 == 0   ? Framing::Kind::chunked
                 : data[0] % 3 == 1 ? Framing::Kind::length
                                    : Framing::Kind::until_end;
  if (framing.kind == Framing::Kind::length) framing.length = data[0];
  const auto whole = read(framing, text, text.size() + 1);
  const auto parts = read(framing, text, 1 + data[1] % 16);
  cranemux::fuzz::demand(whole.body.size() <= text.size());
  if (whole.state == State::done) {
    cranemux::fuzz::demand(parts.state == State::done && parts.body == whole.body &&
                           parts.rest == whole.rest);
    cranemux::fuzz::demand(text.ends_with(whole.rest));
  }
  return 0;
}
