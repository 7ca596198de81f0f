// Tokens of GraphQL (specification of October 2021, section 2.1).
#pragma once

#include <list>
#include <string>
#include <string_view>

#include "graphql/fault.h"

namespace cranemux::graphql {

enum class TokenKind : std::uint8_t { end, punctuator, name, integer, real, string };
struct Token {
  TokenKind kind = TokenKind::end;
  std::string_view text;  // of a string: its content
  Place at;
};

class Lexer {
 public:
  // `resolved` takes the strings that differ from what is written. Throws Error past `most` tokens.
  Lexer(std::string_view text, std::size_t most, std::list<std::string>& resolved)
      : text_(text), most_(most), resolved_(resolved) {}
  Token next();

 private:
  [[noreturn]] void wrong(const std::string& what, std::size_t at) const;
  char peek(std::size_t ahead = 0) const { return at_ + ahead < text_.size() ? text_[at_ + ahead] : '\0'; }
  Place place(std::size_t at) const;
  void skip();
  void new_line();
  Token name();
  Token number();
  void digits();
  Token quoted();
  Token block();
  std::string resolve(std::string_view raw, std::size_t start) const;
  std::size_t resolve_unicode(std::string_view raw, std::size_t i, std::size_t start, std::string& out) const;

  std::string_view text_;
  const std::size_t most_;
  std::list<std::string>& resolved_;
  std::size_t at_ = 0, count_ = 0, line_start_ = 0;
  std::uint32_t line_ = 1;
};

// The content of a block string, without its common indent and blank first and last lines (section 2.9.4).
std::string block_string_value(std::string_view raw);

}  // namespace cranemux::graphql
