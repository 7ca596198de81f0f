#include "front/graphql/exchange.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace cranemux::front {
namespace {

// Has the server told what the operation truly cost?
std::optional<double> told_cost(const json::Value& answer) {
  const auto* extensions = answer.find("extensions");
  const auto* cost = extensions ? extensions->find("cost") : nullptr;
  const auto* actual = cost ? cost->find("actual") : nullptr;
  if (!actual || !actual->number()) return std::nullopt;
  return std::clamp(actual->as_double(0), 0.0, 1e9);
}

json::Value number(double value) {
  char text[32];
  const auto end = std::to_chars(text, text + sizeof text, value).ptr;  // the shortest that says it
  json::Value out;
  out.data = json::Number{std::string(text, end)};
  return out;
}

// `extensions.cost`, beside what the server tells.
void add_cost(json::Value& answer, json::Value cost) {
  auto& members = std::get<json::Object>(answer.data);
  auto at =
      std::find_if(members.begin(), members.end(), [](const auto& m) { return m.first == "extensions"; });
  if (at == members.end() || !at->second.object()) {
    if (at != members.end()) members.erase(at);
    json::Value extensions;
    extensions.data = json::Object{};
    members.emplace_back("extensions", std::move(extensions));
    at = std::prev(members.end());
  }
  auto& extensions = std::get<json::Object>(at->second.data);
  std::erase_if(extensions, [](const auto& m) { return m.first == "cost"; });
  extensions.emplace_back("cost", std::move(cost));
}

json::Value forwarded_one(const json::Value& request, const graphql::Admitted& admitted) {
  json::Object members;
  json::Value text;
  text.data = admitted.text;  // of a persisted document, too: a server need not know it
  members.emplace_back("query", std::move(text));
  for (const auto* name : {"operationName", "variables"}) {
    if (const auto* value = request.find(name)) members.emplace_back(name, *value);
  }
  json::Value out;
  out.data = std::move(members);
  return out;
}

}  // namespace

json::Value cost_value(double requested, std::optional<double> actual,
                       const std::optional<cranemux::Allowance>& store) {
  json::Object members{{"requested", number(requested)}};
  if (actual) members.emplace_back("actual", number(*actual));
  if (store) {
    members.emplace_back("level",
                         number(std::round(store->tokens * 10) / 10));  // told in 100ths of the burst
    members.emplace_back("rate", number(store->rate));
    members.emplace_back("burst", number(store->burst));
  }
  json::Value out;
  out.data = std::move(members);
  return out;
}

std::string error_body(const std::string& code, const std::string& what, std::chrono::nanoseconds retry,
                       const std::string& cost) {
  std::string out = "{\"errors\":[{\"message\":";
  json::write_string(out, what);
  out += ",\"extensions\":{\"code\":";
  json::write_string(out, code);
  if (retry.count() > 0) {
    out += ",\"retryAfterMs\":" + std::to_string(std::chrono::ceil<std::chrono::milliseconds>(retry).count());
  }
  if (!cost.empty()) out += ",\"cost\":" + cost;
  return out + "}}]}";
}

std::string forwarded(const json::Value& request, const std::vector<graphql::Admitted>& admitted) {
  json::Value out;
  if (const auto* batch = request.array()) {
    json::Array items;
    for (std::size_t i = 0; i < batch->size(); ++i) items.push_back(forwarded_one((*batch)[i], admitted[i]));
    out.data = std::move(items);
  } else {
    out = forwarded_one(request, admitted.front());
  }
  std::string body;
  json::write(body, out);
  return body;
}

GraphqlExchange::GraphqlExchange(std::string path, std::string body, std::vector<graphql::Admitted> admitted,
                                 bool batch, Store store)
    : path_(std::move(path)),
      body_(std::move(body)),
      admitted_(std::move(admitted)),
      batch_(batch),
      booking_(std::any_of(admitted_.begin(), admitted_.end(), [](const auto& one) { return one.booking; })),
      store_(std::move(store)) {}

std::string GraphqlExchange::message(std::chrono::milliseconds patience) const {
  std::string out =
      "POST " + path_ + " HTTP/1.1\r\nHost: graphql\r\nContent-Type: application/json\r\nAccept: ";
  if (may_stream()) out.append(kEventType).append(", ");
  out.append(kNewType).append(", ").append(kOldType);
  out.append("\r\nReq-Kind: ").append(booking_ ? "booking" : "reading");
  out += "\r\nReq-Deadline-Ms: " + std::to_string(patience.count());
  out += "\r\nContent-Length: " + std::to_string(body_.size()) + "\r\n\r\n";
  return out + body_;
}

core::AttemptResult GraphqlExchange::read(const http::Message& answer) const {
  core::AttemptResult result;
  result.result = Result::error;
  const bool declined = answer.field("Srv-Declined").value_or("") == "1";
  if (answer.status >= 500) {
    if (declined && (answer.status == 503 || answer.status == 504)) result.result = Result::full;
    return result;
  }
  try {
    auto value = json::parse(answer.body);
    const auto* list = value.array();
    if (batch_ && !list && value.find("errors") &&
        !value.find("data")) {  // it has turned the whole batch down
      result.result = Result::ok;
      result.true_units = 1;
      result.body = answer.body;
      return result;
    }
    if (batch_ ? !list || list->size() != admitted_.size() : !value.object()) return result;
    std::vector<double> costs(admitted_.size());
    for (std::size_t i = 0; i < admitted_.size(); ++i) {
      if (!read_one(batch_ ? (*list)[i] : value, admitted_[i], costs[i])) return result;
      result.true_units += costs[i];
    }
    result.result = Result::ok;
    result.body = store_ ? body_with_cost(std::move(value), costs) : std::string(answer.body);
  } catch (const json::Error&) {
  }
  return result;
}

bool GraphqlExchange::may_stream() const {
  return admitted_.front().kind == graphql::OperationKind::subscription;
}

bool GraphqlExchange::streams(const http::Message& head) const {
  const auto type = head.field("Content-Type").value_or("");
  return head.status == 200 && http::same_name(http::trim(type.substr(0, type.find(';'))), kEventType);
}

std::optional<core::AttemptResult> GraphqlExchange::own_answer() const {
  const bool all =
      std::all_of(admitted_.begin(), admitted_.end(), [](const auto& one) { return one.introspects; });
  if (!all) return std::nullopt;
  core::AttemptResult result;
  for (const auto& one : admitted_) {
    result.body += (result.body.empty() ? "" : ",") + one.own_answer();
    result.true_units += one.units;
  }
  if (batch_) result.body = "[" + result.body + "]";
  return result;
}

// `cost`: what the server tells, else what the answer's shape tells, else what was asked.
bool GraphqlExchange::read_one(const json::Value& answer, const graphql::Admitted& asked,
                               double& cost) const {
  const auto told = told_cost(answer);
  cost = told.value_or(asked.units);
  if (!asked.priced) return answer.find("data") || answer.find("errors");
  const auto settled = graphql::settle(*asked.priced, answer);
  if (!told && answer.find("data")) cost = std::max(1.0, settled.units);
  return settled.fits;
}

std::string GraphqlExchange::body_with_cost(json::Value&& answer, const std::vector<double>& costs) const {
  // The difference is settled after this: what the store holds then is told.
  auto store = store_();
  for (std::size_t i = 0; store && i < costs.size(); ++i) store->tokens += admitted_[i].units - costs[i];
  if (store) store->tokens = std::min(store->tokens, store->burst);
  for (std::size_t i = 0; i < costs.size(); ++i) {
    auto& one = batch_ ? std::get<json::Array>(answer.data)[i] : answer;
    add_cost(one, cost_value(admitted_[i].units, costs[i], store));
  }
  std::string out;
  json::write(out, answer);
  return out;
}

}  // namespace cranemux::front
