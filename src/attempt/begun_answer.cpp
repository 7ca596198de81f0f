#include "attempt/begun_answer.h"

#include <utility>

namespace cranemux::attempt {
namespace {

constexpr int kOk = 200;

// Behind all interim answers (1xx).
http::Verdict parse_final_head(std::string_view bytes, http::Message& head) {
  for (;;) {
    const auto verdict = http::parse_head(bytes, http::Kind::response, head);
    if (verdict.state != http::State::whole || head.status >= kOk) return verdict;
    bytes.remove_prefix(head.size);
  }
}

}  // namespace

std::optional<BegunAnswer> begun_answer(std::string_view bytes) {
  BegunAnswer begun;
  if (parse_final_head(bytes, begun.head).state != http::State::whole) return std::nullopt;
  if (begun.head.status != kOk) return std::nullopt;
  int ignored = 0;
  const auto framing = http::framing(begun.head, http::Kind::response, ignored);
  if (!framing) return std::nullopt;
  begun.framing = *framing;
  const bool told =
      framing->kind == http::Framing::Kind::length || framing->kind == http::Framing::Kind::none;
  if (told && (framing->length <= http::kMostBody || framing->length > http::kMostLong)) return std::nullopt;
  return begun;
}

}  // namespace cranemux::attempt
