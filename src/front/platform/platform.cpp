#include "front/platform/platform.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace cranemux::front {
namespace {

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

class PlatformExchange : public attempt::Exchange {
 public:
  PlatformExchange(const http::Message& message, std::shared_ptr<const std::vector<std::string>> load_fields)
      : load_fields_(std::move(load_fields)) {
    head_.append(message.method).append(" ").append(message.target).append(" HTTP/1.1\r\nHost: ");
    head_.append(message.field("Host").value_or("worker")).append("\r\nReq-Id: ");
    head_.append(message.field("Req-Id").value_or("")).append("\r\nReq-Kind: ");
    head_.append(message.field("Req-Kind").value_or("")).append("\r\n");
    if (const auto type = message.field("Content-Type")) {
      head_.append("Content-Type: ").append(*type).append("\r\n");
    }
    if (!message.body.empty() || message.method != "GET") {
      head_ += "Content-Length: " + std::to_string(message.body.size()) + "\r\n";
    }
    body_ = message.body;
  }

  std::string message(std::chrono::milliseconds patience) const override {
    std::string out;
    out.reserve(head_.size() + body_.size() + 48);
    out.append(head_).append("Req-Deadline-Ms: ").append(std::to_string(patience.count()));
    return out.append("\r\n\r\n").append(body_);
  }

  core::AttemptResult read(const http::Message& answer) const override {
    core::AttemptResult result;
    const bool declined = answer.field("Srv-Declined").value_or("") == "1";
    if (answer.status == 200) {
      result.body = answer.body;
    } else if ((answer.status == 503 || answer.status == 504) && declined) {
      result.result = cranemux::Result::full;
    } else {
      result.result = cranemux::Result::error;
    }
    if (const auto load = answer.field("Srv-Load")) result.load = parse_load(*load, *load_fields_);
    if (const auto cost = answer.field("X-Cost-Units")) result.true_units = number<double>(*cost).value_or(0);
    return result;
  }

 private:
  std::string head_, body_;
  std::shared_ptr<const std::vector<std::string>> load_fields_;
};

}  // namespace

cranemux::LoadReport parse_load(std::string_view text, const std::vector<std::string>& fields) {
  cranemux::LoadReport load;
  text = http::trim(text);
  if (text.starts_with("TEXT ")) text.remove_prefix(5);
  const auto get = [&](std::optional<double>& into, std::string_view setting, std::string_view name) {
    if (std::find(fields.begin(), fields.end(), setting) == fields.end()) return;
    auto value = member(text, name, ',');
    if (value.empty()) value = member(text, setting, ',');
    into = number<double>(value);
  };
  get(load.inflight, "outstanding", "inflight");
  get(load.queue, "backlog", "queue");
  get(load.util, "utilization", "util");
  get(load.service_ms, "recent_ms", "latency_ms");
  get(load.per_s, "throughput", "qps");
  get(load.errors_per_s, "errors_per_s", "eps");
  return load;
}

std::string retry_after_field(std::chrono::nanoseconds after) {
  if (after.count() <= 0) return {};
  const auto ms = (after.count() + 999'999) / 1'000'000;
  auto fraction = std::to_string(1000 + ms % 1000).substr(1);
  return "Retry-After: " + std::to_string(ms / 1000) + (ms % 1000 ? "." + fraction : "") + "\r\n";
}

PlatformFront::PlatformFront(core::Core& core, std::vector<std::string> load_fields)
    : core_(core), load_fields_(std::make_shared<const std::vector<std::string>>(std::move(load_fields))) {}

Handled PlatformFront::request(const http::Message& message, const std::shared_ptr<core::Channel>& channel) {
  if (message.target == "/health/ready" || message.target == "/health/live") {
    return {Reply{200, "ok\n", {}, "text/plain"}};
  }
  const auto bad = [](const char* what) {
    return Handled{Reply{400, std::string(what) + "\n", {}, "text/plain"}};
  };
  core::RpcTerms terms;
  if (message.field("Req-Id").value_or("").empty()) return bad("Req-Id is missing");
  terms.klass = message.field("Req-Kind").value_or("");
  if (!core_.knows_class(terms.klass)) return bad("Req-Kind names no class");
  const auto deadline = number<std::int64_t>(message.field("Req-Deadline-Ms").value_or(""));
  if (!deadline || *deadline < 0 || *deadline > 3'600'000) return bad("Req-Deadline-Ms is no time");
  terms.budget = std::chrono::milliseconds(*deadline);
  terms.customer = member(message.field("Cookie").value_or(""), "client", ';');
  if (terms.customer.size() > 16 || !number<std::uint64_t>(terms.customer, 16)) {
    return bad("the cookie client names no customer");
  }
  terms.plan = message.field("X-Tier").value_or("");
  if (!core_.plan(terms.plan)) return bad("X-Tier names no plan");
  const auto told = message.field("X-Call-Terms").value_or("");
  const auto units = number<double>(member(told, "units", ','));
  const auto spread = number<int>(member(told, "spread", ','));
  const auto first = number<int>(member(told, "first", ','));
  if (!units || !std::isfinite(*units) || *units <= 0 || *units > 1e6) return bad("X-Call-Terms: no units");
  if (!spread || !first || *spread < 1 || *first < 0) return bad("X-Call-Terms: no set");
  terms.units = *units;
  terms.spread = *spread;
  terms.first = *first;
  terms.repeat = message.field("Req-Retry").value_or("") == "1";
  auto payload = std::make_shared<PlatformExchange>(message, load_fields_);
  return {std::nullopt, core_.take(std::move(terms), std::move(payload), channel)};
}

Reply PlatformFront::answer(core::FinalAnswer&& answer, const std::shared_ptr<void>&) {
  if (answer.ending == core::Ending::served) return {200, std::move(answer.body)};
  if (answer.ending == core::Ending::failed) return {502, {}};
  return {429, {}, retry_after_field(answer.retry_after)};
}

Reply PlatformFront::malformed(int status) {
  return {status, std::string(http::reason(status)) + "\n", {}, "text/plain"};
}

}  // namespace cranemux::front
