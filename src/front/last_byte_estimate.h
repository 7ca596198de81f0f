// Since when the last byte of a request's body may have been written, while a part of it may lie unsent on
// the client's machine, where it cannot be seen. Free of I/O.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>

namespace cranemux::front {

class LastByteEstimate {
 public:
  using Time = std::chrono::steady_clock::time_point;

  // Bytes that a client's machine holds for it at most: the upper bound of Linux's `net.ipv4.tcp_wmem`.
  static constexpr std::uint64_t kMostUnsent = std::uint64_t{4} * 1024 * 1024;

  // Call it every now and then, with what is known at that moment. `arrived`: bytes of the body on this
  // machine, read or not. `length`: of the whole body, where it was told; in the same unit as `arrived`.
  // `all_read`: nothing waits to be read, so the client's machine holds nothing back: the last byte is not
  // written yet.
  void look(Time now, std::uint64_t arrived, std::optional<std::uint64_t> length, bool all_read);

  // The earliest moment at which the last byte may have been written. None: it cannot have been.
  std::optional<Time> since() const;

 private:
  struct Sample {
    Time at;
    std::uint64_t arrived = 0;
  };
  bool may_end_beyond(const Sample& sample) const { return sample.arrived + kMostUnsent >= least_length_; }

  std::deque<Sample> samples_;      // the earliest one may have been at the end
  std::uint64_t least_length_ = 0;  // of the body, as far as it is known
};

}  // namespace cranemux::front
