// A JSON parser and writer (RFC 8259), with bounds on depth and size of what is read.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace cranemux::json {

struct Error : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class Value;
using Array = std::vector<Value>;
using Object = std::vector<std::pair<std::string, Value>>;  // in the order written

struct Number {  // keeps its text, so that no digit is lost
  std::string text;
  bool operator==(const Number&) const = default;
};

class Value {
 public:
  std::variant<std::nullptr_t, bool, Number, std::string, Array, Object> data = nullptr;

  bool operator==(const Value&) const = default;
  bool is_null() const { return std::holds_alternative<std::nullptr_t>(data); }
  const bool* boolean() const { return std::get_if<bool>(&data); }
  const Number* number() const { return std::get_if<Number>(&data); }
  const std::string* string() const { return std::get_if<std::string>(&data); }
  const Array* array() const { return std::get_if<Array>(&data); }
  const Object* object() const { return std::get_if<Object>(&data); }
  const Value* find(std::string_view name) const;  // a member of an object, or none
  double as_double(double absent) const;           // a number's value
};

Value parse(std::string_view text, std::size_t most_depth = 64);  // throws Error
void write(std::string& out, const Value& value);
void write_string(std::string& out, std::string_view text);

}  // namespace cranemux::json
