// Reads YAML with every fault named by line, column and key, several in one go. On yaml-cpp.
#pragma once

#include <yaml-cpp/yaml.h>

#include <chrono>
#include <functional>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cranemux::config {

struct Fault {
  int line = 0, column = 0;  // from 1; 0: the file as a whole
  std::string key, text;
};

// Collects faults; each of its readers says what is wrong and returns the default, so reading goes on.
class YamlReader {
 public:
  // Throws Error where the text is no YAML at all, or too large.
  explicit YamlReader(const std::string& text);
  const YAML::Node& root() const { return root_; }

  // A map with these keys and no others, none of them twice. False: it is no map.
  bool map(const YAML::Node& node, const std::string& key, std::initializer_list<std::string_view> allowed);
  // Each pair of a map whose keys are names.
  void each(const YAML::Node& node, const std::string& key,
            const std::function<void(const std::string& name, const YAML::Node& value, const YAML::Node& at)>&
                visit);
  std::string text(const YAML::Node& in, const char* name, const std::string& path,
                   const std::string& absent = {});
  std::string needed(const YAML::Node& in, const char* name, const std::string& path);
  double number(const YAML::Node& in, const char* name, const std::string& path, double absent, double least,
                double most);
  bool flag(const YAML::Node& in, const char* name, const std::string& path, bool absent);
  // `250ms`, `1.5s`, `2m`, `80us`: a figure without a unit is a fault.
  std::chrono::nanoseconds span(const YAML::Node& in, const char* name, const std::string& path,
                                std::chrono::nanoseconds absent);
  // `64KiB`, `4MiB`, `512B`.
  std::size_t bytes(const YAML::Node& in, const char* name, const std::string& path, std::size_t absent);
  std::vector<std::string> texts(const YAML::Node& in, const char* name,
                                 const std::string& path);  // or a single one

  void fault(const YAML::Node& at, const std::string& key, const std::string& text);
  void fault(int line, const std::string& key, const std::string& text) {
    faults_.push_back({line, 0, key, text});
  }
  const std::vector<Fault>& faults() const { return faults_; }
  static int line_of(const YAML::Node& node) { return node.Mark().line + 1; }

 private:
  YAML::Node root_;
  std::vector<Fault> faults_;
};

// `FILE:LINE:COLUMN: KEY: what is wrong`, a line each, in the order of the file.
std::string describe(const std::string& file, std::vector<Fault> faults);

}  // namespace cranemux::config
