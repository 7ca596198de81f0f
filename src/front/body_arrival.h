// Tells when the last byte of a request's body has reached this machine, also while it cannot be read: a
// worker that takes no more of a long body keeps its end in the kernel's buffer. Free of I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "http/http.h"

namespace cranemux::front {

class BodyArrival {
 public:
  // What is known of a body at one moment. Sizes are bytes.
  struct Look {
    const http::BodyReader& reader;  // has taken what was read of the body, but for `pending`
    std::string_view pending;
    std::uint64_t read = 0;             // of the body, with `pending`
    std::size_t unread = 0;             // behind that, held by the kernel
    std::function<std::string()> peek;  // returns the unread bytes and leaves them where they are
  };

  // Returns whether nothing more has to come: the end of the body is among the unread bytes, or what cannot
  // be a body. Call it every now and then. Unread bytes are looked at only where chunks hide the body's
  // length, and only once their number has stayed the same between two calls.
  bool complete(const Look& look);

 private:
  bool scan(const Look& look);

  std::uint64_t arrived_ = 0;                // of the body, at the call before
  std::optional<http::BodyReader> scanner_;  // has taken the first `scanned_` bytes, but for `rest_`
  std::uint64_t scanned_ = 0;
  std::string rest_;
};

}  // namespace cranemux::front
