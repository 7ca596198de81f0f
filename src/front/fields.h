// Header fields that both fronts read alike: who calls, from which set, how long it will wait.
#pragma once

#include <charconv>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>

#include "core/core.h"
#include "http/http.h"

namespace cranemux::front {

template <typename Number>
std::optional<Number> number(std::string_view text, int base = 10) {
  Number value{};
  const auto* end = text.data() + text.size();
  std::from_chars_result got{};
  if constexpr (std::is_integral_v<Number>) {
    got = std::from_chars(text.data(), end, value, base);
  } else {
    got = std::from_chars(text.data(), end, value);
  }
  if (text.empty() || got.ec != std::errc{} || got.ptr != end) return std::nullopt;
  return value;
}

// The value of `name` in `a=1; b=2`.
std::string_view member(std::string_view text, std::string_view name, char separator);
std::string url_decode(std::string_view text);

// Fills in customer, plan, set, budget (0: not told) and repeat. Returns what is wrong, or nothing.
std::string read_caller(const http::Message& message, const core::Core& core, core::RpcTerms& terms);
// The customer as the request names it, checked or not.
std::string_view customer_of(const http::Message& message);
constexpr std::string_view kReady = "/health/ready";
bool is_health(std::string_view target);
std::optional<double> read_units(const http::Message& message);

// Whole seconds, or with three digits behind the point; nothing for no advice.
std::string retry_after_field(std::chrono::nanoseconds after);

// What a caller has left of its quota, as RateLimit-Policy and RateLimit (IETF
// draft-ietf-httpapi-ratelimit-headers, version 10): q is the burst and r what is left of it, in units; w is
// how long an empty store takes to fill, t how long until this one is full, in whole seconds.
std::string rate_limit_fields(std::string_view plan, const cranemux::Allowance& store);

}  // namespace cranemux::front
