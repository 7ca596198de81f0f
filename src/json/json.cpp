#include "json/json.h"

#include <algorithm>
#include <charconv>
#include <cstdint>

namespace cranemux::json {
namespace {

class Reader {
 public:
  Reader(std::string_view text, std::size_t most_depth) : text_(text), most_depth_(most_depth) {}

  Value whole() {
    auto value = read(0);
    space();
    if (at_ != text_.size()) fail("text after the value");
    return value;
  }

 private:
  [[noreturn]] void fail(const char* what) const {
    throw Error("JSON: " + std::string(what) + " at byte " + std::to_string(at_));
  }
  char peek() const { return at_ < text_.size() ? text_[at_] : '\0'; }
  void space() {
    while (at_ < text_.size() &&
           (text_[at_] == ' ' || text_[at_] == '\n' || text_[at_] == '\r' || text_[at_] == '\t'))
      ++at_;
  }
  bool take(char c) {
    space();
    if (peek() != c || at_ >= text_.size()) return false;
    ++at_;
    return true;
  }
  bool word(std::string_view w) {
    if (text_.substr(at_, w.size()) != w) return false;
    at_ += w.size();
    return true;
  }

  Value read(std::size_t depth) {
    if (depth > most_depth_) fail("nested too deeply");
    space();
    Value value;
    if (at_ >= text_.size()) fail("no value");
    const char c = peek();
    if (c == '{') {
      value.data = read_object(depth);
    } else if (c == '[') {
      value.data = read_array(depth);
    } else if (c == '"') {
      value.data = read_string();
    } else if (word("true")) {
      value.data = true;
    } else if (word("false")) {
      value.data = false;
    } else if (!word("null")) {
      value.data = read_number();
    }
    return value;
  }

  Object read_object(std::size_t depth) {
    Object object;
    ++at_;
    if (take('}')) return object;
    do {
      space();
      if (peek() != '"') fail("a member needs a name");
      auto name = read_string();
      if (!take(':')) fail("':' expected");
      object.emplace_back(std::move(name), read(depth + 1));
    } while (take(','));
    if (!take('}')) fail("'}' expected");
    // Readers differ in which of two members counts: what is priced would not be what is run.
    std::vector<std::string_view> names;
    for (const auto& [name, value] : object) names.emplace_back(name);
    std::sort(names.begin(), names.end());
    if (std::adjacent_find(names.begin(), names.end()) != names.end()) fail("a name is there twice");
    return object;
  }

  Array read_array(std::size_t depth) {
    Array array;
    ++at_;
    if (take(']')) return array;
    do {
      array.push_back(read(depth + 1));
    } while (take(','));
    if (!take(']')) fail("']' expected");
    return array;
  }

  Number read_number() {
    const auto start = at_;
    const auto digits = [&] {
      const auto first = at_;
      while (peek() >= '0' && peek() <= '9') ++at_;
      if (at_ == first) fail("not a value");
    };
    if (peek() == '-') ++at_;
    const bool zero = peek() == '0';
    const auto first = at_;
    digits();
    if (zero && at_ - first > 1) fail("a number starts with 0");
    if (peek() == '.') {
      ++at_;
      digits();
    }
    if (peek() == 'e' || peek() == 'E') {
      ++at_;
      if (peek() == '+' || peek() == '-') ++at_;
      digits();
    }
    return {std::string(text_.substr(start, at_ - start))};
  }

  std::uint32_t hex4() {
    std::uint32_t code = 0;
    if (at_ + 4 > text_.size()) fail("damaged escape");
    const auto* end = text_.data() + at_ + 4;
    if (std::from_chars(text_.data() + at_, end, code, 16).ptr != end) fail("damaged escape");
    at_ += 4;
    return code;
  }

  static void utf8(std::string& out, std::uint32_t code) {
    if (code < 0x80) {
      out += static_cast<char>(code);
    } else if (code < 0x800) {
      out += static_cast<char>(0xC0 | code >> 6U);
      out += static_cast<char>(0x80 | (code & 63U));
    } else if (code < 0x10000) {
      out += static_cast<char>(0xE0 | code >> 12U);
      out += static_cast<char>(0x80 | (code >> 6U & 63U));
      out += static_cast<char>(0x80 | (code & 63U));
    } else {
      out += static_cast<char>(0xF0 | code >> 18U);
      out += static_cast<char>(0x80 | (code >> 12U & 63U));
      out += static_cast<char>(0x80 | (code >> 6U & 63U));
      out += static_cast<char>(0x80 | (code & 63U));
    }
  }

  std::string read_string() {
    std::string out;
    ++at_;
    for (;;) {
      if (at_ >= text_.size()) fail("a string does not end");
      const char c = text_[at_++];
      if (c == '"') return out;
      if (static_cast<unsigned char>(c) < 0x20) fail("a control character in a string");
      if (c != '\\') {
        out += c;
        continue;
      }
      if (at_ >= text_.size()) fail("a string does not end");
      const char e = text_[at_++];
      constexpr std::string_view kFrom = "\"\\/bfnrt", kTo = "\"\\/\b\f\n\r\t";
      if (const auto plain = kFrom.find(e); plain != std::string_view::npos) {
        out += kTo[plain];
        continue;
      }
      if (e != 'u') fail("unknown escape");
      auto code = hex4();
      if (code >= 0xD800 && code < 0xDC00) {
        if (!word("\\u")) fail("half a surrogate pair");
        const auto low = hex4();
        if (low < 0xDC00 || low > 0xDFFF) fail("half a surrogate pair");
        code = 0x10000 + ((code - 0xD800) << 10U) + (low - 0xDC00);
      } else if (code >= 0xDC00 && code < 0xE000) {
        fail("half a surrogate pair");
      }
      utf8(out, code);
    }
  }

  std::string_view text_;
  std::size_t most_depth_, at_ = 0;
};

}  // namespace

const Value* Value::find(std::string_view name) const {
  if (const auto* members = object()) {
    for (const auto& [key, value] : *members) {
      if (key == name) return &value;
    }
  }
  return nullptr;
}

double Value::as_double(double absent) const {
  const auto* n = number();
  double value = absent;
  if (n) std::from_chars(n->text.data(), n->text.data() + n->text.size(), value);
  return value;
}

Value parse(std::string_view text, std::size_t most_depth) { return Reader(text, most_depth).whole(); }

void write_string(std::string& out, std::string_view text) {
  constexpr std::string_view kHex = "0123456789abcdef";
  out += '"';
  for (const char c : text) {
    if (c == '"' || c == '\\') {
      out += '\\';
      out += c;
    } else if (static_cast<unsigned char>(c) < 0x20) {
      out += "\\u00";
      out += kHex[static_cast<unsigned char>(c) >> 4U];
      out += kHex[static_cast<unsigned char>(c) & 15U];
    } else {
      out += c;
    }
  }
  out += '"';
}

void write(std::string& out, const Value& value) {
  if (value.is_null()) out += "null";
  if (const auto* b = value.boolean()) out += *b ? "true" : "false";
  if (const auto* n = value.number()) out += n->text;
  if (const auto* s = value.string()) write_string(out, *s);
  if (const auto* a = value.array()) {
    out += '[';
    for (std::size_t i = 0; i < a->size(); ++i) {
      if (i > 0) out += ',';
      write(out, (*a)[i]);
    }
    out += ']';
  }
  if (const auto* o = value.object()) {
    out += '{';
    for (std::size_t i = 0; i < o->size(); ++i) {
      if (i > 0) out += ',';
      write_string(out, (*o)[i].first);
      out += ':';
      write(out, (*o)[i].second);
    }
    out += '}';
  }
}

}  // namespace cranemux::json
