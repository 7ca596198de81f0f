// The operators' line protocol, free of I/O: one line in, one answer out.
#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace cranemux::management {

constexpr std::size_t kMostLine = 256;

// What a gatekeeper does for its operators.
class Operations {
 public:
  virtual ~Operations() = default;
  virtual bool ready() const = 0;
  virtual std::string stage() const = 0;    // in words
  virtual std::string figures() const = 0;  // a line each
  virtual void drain(bool on) = 0;
};

enum class Reading { more, line, too_long };
// Finds the line in what a caller has sent so far. `ended`: it sends no more.
Reading read_line(std::string_view in, bool ended, std::string_view& line);

// Each begins with `done` or `error`, but for the figures, which end with a line `end`.
std::string answer(std::string_view line, Operations& operations);
std::string refusal(std::string_view why);

}  // namespace cranemux::management
