// Log lines on a stream, less those below the level that is set.
#pragma once

#include <array>
#include <optional>
#include <ostream>
#include <string_view>

namespace cranemux::metrics {

enum class Level { debug, info, warning, error };
constexpr std::array<std::string_view, 4> kLevelNames{"debug", "info", "warning", "error"};

inline std::optional<Level> level_named(std::string_view name) {
  for (std::size_t i = 0; i < kLevelNames.size(); ++i) {
    if (kLevelNames[i] == name) return static_cast<Level>(i);
  }
  return std::nullopt;
}

class Logger {
 public:
  explicit Logger(std::ostream& out, Level least = Level::info) : out_(out), least_(least) {}
  void set_level(Level least) { least_ = least; }
  Level level() const { return least_; }

  template <typename... Parts>
  void log(Level level, const Parts&... parts) {
    if (level < least_) return;
    out_ << kLevelNames[static_cast<std::size_t>(level)] << ": ";
    (out_ << ... << parts) << '\n' << std::flush;
  }

 private:
  std::ostream& out_;
  Level least_;
};

}  // namespace cranemux::metrics
