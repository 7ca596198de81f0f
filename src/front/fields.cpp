#include "front/fields.h"

#include <algorithm>

namespace cranemux::front {

std::string_view member(std::string_view text, std::string_view name, char separator) {
  while (!text.empty()) {
    const auto end = std::min(text.find(separator), text.size());
    const auto part = http::trim(text.substr(0, end));
    if (part.size() > name.size() && part.starts_with(name) && part[name.size()] == '=') {
      return part.substr(name.size() + 1);
    }
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return {};
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
  if (const auto told = message.field("Req-Deadline-Ms")) {
    const auto deadline = number<std::int64_t>(*told);
    if (!deadline || *deadline < 0 || *deadline > 3'600'000) return "Req-Deadline-Ms is no time";
    terms.budget = std::chrono::milliseconds(*deadline);
  }
  terms.customer = member(message.field("Cookie").value_or(""), "client", ';');
  if (terms.customer.size() > 16 || !number<std::uint64_t>(terms.customer, 16)) {
    return "the cookie client names no customer";
  }
  terms.plan = message.field("X-Tier").value_or("");
  if (!core.plan(terms.plan)) return "X-Tier names no plan";
  const auto told = message.field("X-Call-Terms").value_or("");
  const auto spread = member(told, "spread", ','), first = member(told, "first", ',');
  const auto gateways = core.settings().gateways;
  terms.spread = spread.empty() ? gateways : number<int>(spread).value_or(0);
  terms.first = first.empty() ? 0 : number<int>(first).value_or(-1);
  if (terms.spread < 1 || terms.first < 0) return "X-Call-Terms: no set";
  terms.repeat = message.field("Req-Retry").value_or("") == "1";
  return {};
}

std::optional<double> read_units(const http::Message& message) {
  return number<double>(member(message.field("X-Call-Terms").value_or(""), "units", ','));
}

std::string retry_after_field(std::chrono::nanoseconds after) {
  if (after.count() <= 0) return {};
  const auto ms = std::chrono::ceil<std::chrono::milliseconds>(after).count();
  const auto fraction = std::to_string(1000 + ms % 1000).substr(1);
  return "Retry-After: " + std::to_string(ms / 1000) + (ms % 1000 ? "." + fraction : "") + "\r\n";
}

}  // namespace cranemux::front
