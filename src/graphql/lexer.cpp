#include "graphql/lexer.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace cranemux::graphql {
namespace {

// What a character may be, by one look: a document is read once for each that the cache has not seen.
enum Class : std::uint8_t { kNameStart = 1, kDigit = 2, kIgnored = 4, kLineEnd = 8, kPunctuator = 16 };
constexpr std::array<std::uint8_t, 256> make_classes() {
  std::array<std::uint8_t, 256> out{};
  const auto mark = [&](std::string_view all, Class what) {
    for (const char c : all) out[static_cast<unsigned char>(c)] |= what;
  };
  mark("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ_", kNameStart);
  mark("0123456789", kDigit);
  mark(" \t,", kIgnored);
  mark("\r\n", kLineEnd);
  mark("!$&()=:@[]{}|", kPunctuator);
  return out;
}
constexpr auto kClasses = make_classes();
bool is(char c, unsigned what) { return (kClasses[static_cast<unsigned char>(c)] & what) != 0; }
bool name_start(char c) { return is(c, kNameStart); }
bool digit(char c) { return is(c, kDigit); }
bool name_part(char c) { return is(c, kNameStart | kDigit); }

void add_utf8(std::string& out, std::uint32_t code) {
  if (code < 0x80) {
    out += static_cast<char>(code);
    return;
  }
  const int more = code < 0x800 ? 1 : code < 0x10000 ? 2 : 3;
  constexpr unsigned kLead[] = {0, 0xC0, 0xE0, 0xF0};
  out += static_cast<char>(kLead[more] | code >> (6U * static_cast<unsigned>(more)));
  for (int i = more - 1; i >= 0; --i) {
    out += static_cast<char>(0x80U | (code >> (6U * static_cast<unsigned>(i)) & 63U));
  }
}

}  // namespace

void Lexer::wrong(const std::string& what, std::size_t at) const {
  throw Error(std::string(kParseFailed), what, place(at));
}

Place Lexer::place(std::size_t at) const { return {line_, static_cast<std::uint32_t>(at - line_start_ + 1)}; }

// At a line terminator: `\n`, `\r`, or both.
void Lexer::new_line() {
  at_ += peek() == '\r' && peek(1) == '\n' ? 2 : 1;
  ++line_;
  line_start_ = at_;
}

void Lexer::skip() {
  while (at_ < text_.size()) {
    const char c = text_[at_];
    if (is(c, kIgnored)) {
      ++at_;
    } else if (is(c, kLineEnd)) {
      new_line();
    } else if (c == '#') {
      while (at_ < text_.size() && text_[at_] != '\n' && text_[at_] != '\r') ++at_;
    } else if (c == '\xEF' && text_.substr(at_, 3) == "\xEF\xBB\xBF") {
      at_ += 3;
    } else {
      return;
    }
  }
}

Token Lexer::next() {
  skip();
  if (at_ >= text_.size()) return {TokenKind::end, {}, place(at_)};
  if (++count_ > most_) {
    throw Error(std::string(kTooLarge),
                "more than " + std::to_string(most_) + " tokens: ask for less at once", place(at_));
  }
  const char c = text_[at_];
  if (name_start(c)) return name();
  if (c == '-' || digit(c)) return number();
  if (c == '"') return text_.substr(at_, 3) == R"(""")" ? block() : quoted();
  const std::size_t length = c == '.' && text_.substr(at_, 3) == "..." ? 3 : 1;
  if (length == 1 && !is(c, kPunctuator)) {
    wrong(c == '\'' ? "a string stands in double quotes, not in single ones"
                    : "this character has no meaning here",
          at_);
  }
  const Token token{TokenKind::punctuator, text_.substr(at_, length), place(at_)};
  at_ += length;
  return token;
}

Token Lexer::name() {
  const auto start = at_++;
  while (at_ < text_.size() && name_part(text_[at_])) ++at_;
  return {TokenKind::name, text_.substr(start, at_ - start), place(start)};
}

void Lexer::digits() {
  if (!digit(peek())) wrong("a digit is missing in a number", at_);
  while (digit(peek())) ++at_;
}

Token Lexer::number() {
  const auto start = at_;
  auto kind = TokenKind::integer;
  if (peek() == '-') ++at_;
  if (peek() == '0' && digit(peek(1))) wrong("a number cannot start with 0: leave the zeros out", at_);
  digits();
  if (peek() == '.') {
    kind = TokenKind::real;
    ++at_;
    digits();
  }
  if (peek() == 'e' || peek() == 'E') {
    kind = TokenKind::real;
    ++at_;
    if (peek() == '+' || peek() == '-') ++at_;
    digits();
  }
  if (name_start(peek()) || peek() == '.') wrong("a number ends in what is none of it", at_);
  return {kind, text_.substr(start, at_ - start), place(start)};
}

Token Lexer::quoted() {
  const auto start = at_++;
  bool escaped = false;
  while (at_ < text_.size() && text_[at_] != '"' && text_[at_] != '\n' && text_[at_] != '\r') {
    const auto c = static_cast<unsigned char>(text_[at_]);
    if (c < 0x20 && c != '\t') wrong("a control character in a string: write it as \\u and four digits", at_);
    escaped = escaped || c == '\\';
    at_ += c == '\\' && at_ + 1 < text_.size() && text_[at_ + 1] != '\n' ? 2 : 1;
  }
  if (peek() != '"')
    wrong("a string does not end on its line: close it, or write it in triple quotes", start);
  auto raw = text_.substr(start + 1, at_ - start - 1);
  ++at_;
  if (escaped) raw = resolved_.emplace_back(resolve(raw, start + 1));
  return {TokenKind::string, raw, place(start)};
}

std::string Lexer::resolve(std::string_view raw, std::size_t start) const {
  constexpr std::string_view kFrom = "\"\\/bfnrt", kTo = "\"\\/\b\f\n\r\t";
  std::string out;
  for (std::size_t i = 0; i < raw.size(); ++i) {
    if (raw[i] != '\\') {
      out += raw[i];
      continue;
    }
    const char c = ++i < raw.size() ? raw[i] : '\0';
    if (c == 'u') {
      i = resolve_unicode(raw, i + 1, start, out);
      continue;
    }
    const auto which = kFrom.find(c);
    if (which == std::string_view::npos) wrong("an escape that does not exist in a string", start + i - 1);
    out += kTo[which];
  }
  return out;
}

// Four hex digits from `i`, and the second half of a pair where they are the first. Returns its last byte.
std::size_t Lexer::resolve_unicode(std::string_view raw, std::size_t i, std::size_t start,
                                   std::string& out) const {
  const auto four = [&](std::size_t from) -> std::uint32_t {
    std::uint32_t code = 0;
    const auto text = raw.substr(std::min(from, raw.size()), 4);
    const auto got = std::from_chars(text.data(), text.data() + text.size(), code, 16);
    if (text.size() < 4 || got.ptr != text.data() + 4) wrong("\\u needs four hex digits", start + i - 2);
    return code;
  };
  auto code = four(i);
  i += 3;
  if (code >= 0xDC00 && code < 0xE000) wrong("half of a surrogate pair in a string", start + i);
  if (code >= 0xD800 && code < 0xDC00) {
    if (raw.substr(i + 1, 2) != "\\u") wrong("half of a surrogate pair in a string", start + i);
    const auto low = four(i + 3);
    if (low < 0xDC00 || low >= 0xE000) wrong("half of a surrogate pair in a string", start + i);
    code = 0x10000 + ((code - 0xD800) << 10U) + (low - 0xDC00);
    i += 6;
  }
  add_utf8(out, code);
  return i;
}

Token Lexer::block() {
  const auto start = at_;
  const auto begins = place(start);
  at_ += 3;
  while (at_ < text_.size() && text_.substr(at_, 3) != R"(""")") {
    if (text_[at_] == '\n' || text_[at_] == '\r') {
      new_line();
    } else {
      at_ += text_.substr(at_, 4) == R"(\""")" ? 4 : 1;
    }
  }
  if (at_ >= text_.size()) {
    throw Error(std::string(kParseFailed), "a block string does not end: close it with three quotes", begins);
  }
  const auto raw = text_.substr(start + 3, at_ - start - 3);
  at_ += 3;
  return {TokenKind::string, resolved_.emplace_back(block_string_value(raw)), begins};
}

std::string block_string_value(std::string_view raw) {
  std::vector<std::string_view> lines;
  for (std::size_t from = 0; from <= raw.size();) {
    const auto end = std::min(raw.find_first_of("\r\n", from), raw.size());
    lines.push_back(raw.substr(from, end - from));
    from = end + (raw.substr(end, 2) == "\r\n" ? 2 : 1);
  }
  const auto indent_of = [](std::string_view line) {
    return std::min(line.find_first_not_of(" \t"), line.size());
  };
  auto common = std::string_view::npos;
  for (std::size_t i = 1; i < lines.size(); ++i) {
    if (indent_of(lines[i]) < lines[i].size()) common = std::min(common, indent_of(lines[i]));
  }
  for (std::size_t i = 1; i < lines.size(); ++i) lines[i].remove_prefix(std::min(common, lines[i].size()));
  const auto says = [&](std::string_view line) { return indent_of(line) < line.size(); };
  while (!lines.empty() && !says(lines.front())) lines.erase(lines.begin());
  while (!lines.empty() && !says(lines.back())) lines.pop_back();
  std::string out;
  for (std::size_t i = 0; i < lines.size(); ++i) {
    if (i > 0) out += '\n';
    for (std::size_t at = 0; at < lines[i].size(); ++at) {
      if (lines[i].substr(at, 4) == R"(\""")") ++at;
      out += lines[i][at];
    }
  }
  return out;
}

}  // namespace cranemux::graphql
