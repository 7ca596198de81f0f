// Reads the module's settings from path=value pairs, as both the simulator's wire and the platform's
// configuration bring them. The messages of ParseError name the faulty key.
#pragma once

#include <charconv>
#include <initializer_list>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cranemux/decision_module.h"

namespace cranemux::config {

struct ParseError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

using Fields = std::map<std::string, std::string, std::less<>>;

template <typename Number>
Number parse_number(std::string_view text, std::string_view name) {
  Number value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size()) {
    throw ParseError("not a number: " + std::string(name) + "=" + std::string(text));
  }
  return value;
}

const std::string* find(const Fields& fields, std::string_view name);
std::string text_of(const Fields& fields, std::string_view name);
std::string required(const Fields& fields, std::string_view name);
bool flag_of(const Fields& fields, std::string_view name);

template <typename Number>
Number number_of(const Fields& fields, std::string_view name, Number absent = {}) {
  const auto* value = find(fields, name);
  return value ? parse_number<Number>(*value, name) : absent;
}

template <typename Value>
Value choose(const std::string& text, std::string_view what,
             std::initializer_list<std::pair<std::string_view, Value>> names) {
  for (const auto& [name, value] : names) {
    if (name == text) return value;
  }
  throw ParseError("unknown " + std::string(what) + " " + text);
}

Settings parse_settings(const Fields& info);
// What is wrong with them, each with its key below `settings` and what may stand there; empty: nothing.
std::vector<std::string> faults_of(const Settings& settings);
// Throws std::invalid_argument where there is a fault.
void check(const Settings& settings);

}  // namespace cranemux::config
