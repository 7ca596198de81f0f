// Log lines with a severity and attributes, on Boost.Log, in its iostream style: as text, or one JSON object
// a line.
//   logger.log(Level::info, Field{"pool", name}, name, " is drained");
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <ostream>
#include <sstream>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace cranemux::metrics {

enum class Level { debug, info, warning, error };
constexpr std::array<std::string_view, 4> kLevelNames{"debug", "info", "warning", "error"};

inline std::optional<Level> level_named(std::string_view name) {
  for (std::size_t i = 0; i < kLevelNames.size(); ++i) {
    if (kLevelNames[i] == name) return static_cast<Level>(i);
  }
  return std::nullopt;
}

// An attribute of a line, apart from its text.
struct Field {
  std::string name, value;
};

enum class LogForm { text, json };

class Logger {
 public:
  // Lines go to this descriptor; a reader that stalls costs lines, which are counted, and nothing else.
  explicit Logger(int descriptor, Level least = Level::info, LogForm form = LogForm::text);
  ~Logger();
  Logger(const Logger&) = delete;
  Logger& operator=(const Logger&) = delete;

  void set_level(Level least) { least_ = least; }
  Level level() const { return least_; }
  void flush();  // what waits for a stalled reader, as far as it takes it now
  std::uint64_t dropped() const;

  template <typename... Parts>
  void log(Level level, const Parts&... parts) {
    if (level < least_) return;
    std::ostringstream text;
    std::vector<Field> fields;
    (add(text, fields, parts), ...);
    write(level, text.str(), fields);
  }

 private:
  template <typename Part>
  static void add(std::ostream& text, std::vector<Field>& fields, const Part& part) {
    if constexpr (std::is_same_v<Part, Field>) {
      fields.push_back(part);
    } else {
      text << part;
    }
  }
  void write(Level level, const std::string& text, const std::vector<Field>& fields);

  struct Sink;
  std::unique_ptr<Sink> sink_;
  Level least_;
};

}  // namespace cranemux::metrics
