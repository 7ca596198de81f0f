// Whether a worker's answer has begun that its client can be given as it comes. Free of I/O.
#pragma once

#include <optional>
#include <string_view>

#include "http/http.h"

namespace cranemux::attempt {

struct BegunAnswer {
  http::Message head;  // views into the bytes that were read
  http::Framing framing;
};

// `bytes`: all that has come of an answer, with interim answers before it. None: its head is not whole, it is
// no success, or its length is told and small enough that it is held until it is whole.
std::optional<BegunAnswer> begun_answer(std::string_view bytes);

}  // namespace cranemux::attempt
