// Lines to a descriptor whose reader may stall: what cannot be taken at once waits in a bounded buffer, and
// what finds no room there is dropped and counted. Never blocks.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace cranemux::metrics {

class LineWriter {
 public:
  explicit LineWriter(int descriptor, std::size_t most_pending = 64 * 1024)
      : descriptor_(descriptor), most_(most_pending) {}
  void line(std::string_view text);  // its end is added
  void flush();                      // as much as is taken at once
  bool pending() const { return !pending_.empty(); }
  std::uint64_t dropped() const { return dropped_; }

 private:
  int descriptor_;
  std::size_t most_;
  std::string pending_;
  std::uint64_t dropped_ = 0, told_ = 0;  // told: of those dropped, a line has said so
};

}  // namespace cranemux::metrics
