#include "front/fields.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace cranemux::front {

namespace {

constexpr std::uint64_t kCustomers = std::uint64_t{1} << 33U;  // their numbers are below it

// What decides about a request may be said once only: another reader might take the other.
constexpr std::string_view kOnce[] = {"Req-Id",          "Req-Kind",     "X-Tier",    "Cookie",
                                      "Req-Deadline-Ms", "X-Call-Terms", "Req-Retry", "Host",
                                      "Idempotency-Key"};

template <typename Each>
void members(std::string_view text, char separator, Each each) {
  while (!text.empty()) {
    const auto end = std::min(text.find(separator), text.size());
    const auto part = http::trim(text.substr(0, end));
    const auto equals = part.find('=');
    if (equals != std::string_view::npos) each(part.substr(0, equals), part.substr(equals + 1));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
}

bool twice(std::string_view text, std::string_view name, char separator) {
  int seen = 0;
  members(text, separator, [&](auto key, auto) { seen += key == name; });
  return seen > 1;
}

}  // namespace

std::string_view member(std::string_view text, std::string_view name, char separator) {
  std::string_view found;
  members(text, separator, [&](auto key, auto value) {
    if (key == name && found.empty()) found = value;
  });
  return found;
}

std::string url_decode(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const auto code = text[i] == '%' ? number<unsigned>(text.substr(i + 1, 2), 16) : std::nullopt;
    if (code && i + 2 < text.size()) {
      out += static_cast<char>(*code);
      i += 2;
    } else {
      out += text[i] == '+' ? ' ' : text[i];
    }
  }
  return out;
}

std::string read_caller(const http::Message& message, const core::Core& core, core::RpcTerms& terms) {
  for (const auto name : kOnce) {
    const auto same = [&](const auto& field) { return http::same_name(field.first, name); };
    if (std::count_if(message.fields.begin(), message.fields.end(), same) > 1) {
      return std::string(name) + " is there twice";
    }
  }
  if (const auto told = message.field("Req-Deadline-Ms")) {
    const auto deadline = number<std::int64_t>(*told);
    if (!deadline || *deadline < 0 || *deadline > 3'600'000) return "Req-Deadline-Ms is no time";
    terms.budget = std::chrono::milliseconds(*deadline);
  }
  const auto cookie = message.field("Cookie").value_or("");
  const auto client = member(cookie, "client", ';');
  const auto customer = number<std::uint64_t>(client, 16);
  if (client.size() != 16 || !customer || *customer >= kCustomers || twice(cookie, "client", ';')) {
    return "the cookie client names no customer";
  }
  std::transform(client.begin(), client.end(), std::back_inserter(terms.customer),
                 [](char c) { return c >= 'A' && c <= 'F' ? static_cast<char>(c - 'A' + 'a') : c; });
  terms.plan = message.field("X-Tier").value_or("");
  if (!core.plan(terms.plan)) return "X-Tier names no plan";
  const auto told = message.field("X-Call-Terms").value_or("");
  const auto gateways = core.settings().gateways;
  const auto within = [&](std::string_view name, int least, int most, int absent) -> std::optional<int> {
    const auto text = member(told, name, ',');
    if (text.empty()) return absent;
    const auto value = number<int>(text);
    return value && *value >= least && *value <= most ? value : std::nullopt;
  };
  const auto spread = within("spread", 1, gateways, gateways), first = within("first", 0, gateways - 1, 0);
  if (!spread || !first || twice(told, "spread", ',') || twice(told, "first", ',') ||
      twice(told, "units", ',')) {
    return "X-Call-Terms: no set";
  }
  terms.spread = *spread;
  terms.first = *first;
  terms.repeat = message.field("Req-Retry").value_or("") == "1";
  return {};
}

std::string_view customer_of(const http::Message& message) {
  return member(message.field("Cookie").value_or(""), "client", ';');
}

bool is_health(std::string_view target) { return target == kReady || target == "/health/live"; }

std::optional<double> read_units(const http::Message& message) {
  return number<double>(member(message.field("X-Call-Terms").value_or(""), "units", ','));
}

std::string retry_after_field(std::chrono::nanoseconds after) {
  if (after.count() <= 0) return {};
  const auto ms = std::chrono::ceil<std::chrono::milliseconds>(after).count();
  const auto fraction = std::to_string(1000 + ms % 1000).substr(1);
  return "Retry-After: " + std::to_string(ms / 1000) + (ms % 1000 ? "." + fraction : "") + "\r\n";
}

std::string rate_limit_fields(std::string_view plan, const cranemux::Allowance& store) {
  std::string name = "\"";  // a string of structured fields (RFC 8941, 3.3.3)
  for (const char c : plan) {
    if (c == '"' || c == '\\') name += '\\';
    name += c >= ' ' && c < '\x7f' ? c : '?';
  }
  name += '"';
  const auto whole = [](double value) {
    return std::to_string(static_cast<std::int64_t>(std::clamp(value, 0.0, 1e15)));
  };
  return "RateLimit-Policy: " + name + ";q=" + whole(store.burst) +
         ";w=" + whole(std::ceil(store.burst / store.rate)) + "\r\nRateLimit: " + name +
         ";r=" + whole(store.tokens + 0.05) +
         ";t=" + whole(std::ceil((store.burst - store.tokens) / store.rate)) + "\r\n";
}

}  // namespace cranemux::front
