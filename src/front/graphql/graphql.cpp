#include "front/graphql/graphql.h"

#include <algorithm>
#include <cmath>

#include "front/fields.h"

namespace cranemux::front {
namespace {

constexpr std::string_view kNewType = "application/graphql-response+json", kOldType = "application/json";
constexpr double kMostTimes = 50;  // the module's weights tell requests apart up to so many times most_units

std::string error_body(const std::string& code, const std::string& what,
                       std::chrono::nanoseconds retry = {}) {
  std::string out = "{\"errors\":[{\"message\":";
  json::write_string(out, what);
  out += ",\"extensions\":{\"code\":";
  json::write_string(out, code);
  if (retry.count() > 0) {
    out += ",\"retryAfterMs\":" + std::to_string(std::chrono::ceil<std::chrono::milliseconds>(retry).count());
  }
  return out + "}}]}";
}

Reply unavailable_as(std::string_view type, std::chrono::nanoseconds come_back) {
  return {429, error_body("UNAVAILABLE", "not run: come back later", come_back), retry_after_field(come_back),
          type};
}

// Media types that a client accepts: ours, if any of them is.
std::optional<std::string_view> media_type(const http::Message& message) {
  const auto accept = message.field("Accept");
  if (!accept || accept->find(kNewType) != std::string_view::npos) return kNewType;
  for (const auto any : {kOldType, std::string_view("application/*"), std::string_view("*/*")}) {
    if (accept->find(any) != std::string_view::npos) return kOldType;
  }
  return std::nullopt;
}

// Has the server told what the operation truly cost?
double true_cost(const json::Value& answer) {
  const auto* extensions = answer.find("extensions");
  const auto* cost = extensions ? extensions->find("cost") : nullptr;
  const auto* actual = cost ? cost->find("actual") : nullptr;
  return actual && actual->number() ? std::clamp(actual->as_double(0), 0.0, 1e9) : 0;
}

class GraphqlExchange : public attempt::Exchange {
 public:
  GraphqlExchange(const std::string& path, std::string body, bool booking)
      : path_(path), body_(std::move(body)), booking_(booking) {}

  std::string message(std::chrono::milliseconds patience) const override {
    return "POST " + path_ + " HTTP/1.1\r\nHost: graphql\r\nContent-Type: application/json\r\nAccept: " +
           std::string(kNewType) + ", " + std::string(kOldType) +
           "\r\nReq-Kind: " + (booking_ ? "booking" : "reading") +
           "\r\nReq-Deadline-Ms: " + std::to_string(patience.count()) +
           "\r\nContent-Length: " + std::to_string(body_.size()) + "\r\n\r\n" + body_;
  }

  // A well-formed answer is one, even if it tells of errors: the server has seen the operation.
  core::AttemptResult read(const http::Message& answer) const override {
    core::AttemptResult result;
    result.result = Result::error;
    const bool declined = answer.field("Srv-Declined").value_or("") == "1";
    if (answer.status >= 500) {
      if (declined && (answer.status == 503 || answer.status == 504)) result.result = Result::full;
      return result;
    }
    try {
      const auto value = json::parse(answer.body);
      double cost = true_cost(value);
      const auto good = [](const json::Value& v) { return v.find("data") || v.find("errors"); };
      bool whole = good(value);
      if (const auto* batch = value.array()) {
        whole = std::all_of(batch->begin(), batch->end(), good);
        for (const auto& one : *batch) cost += true_cost(one);
      }
      if (!whole) return result;
      result.result = Result::ok;
      result.true_units = cost;
      result.body = answer.body;
    } catch (const json::Error&) {
    }
    return result;
  }

 private:
  std::string path_, body_;
  bool booking_;
};

// What goes on to a server: only what was priced. Another member might make it run something else.
json::Value forwarded(const json::Value& request) {
  json::Value out;
  if (const auto* batch = request.array()) {
    json::Array items;
    for (const auto& one : *batch) items.push_back(forwarded(one));
    out.data = std::move(items);
    return out;
  }
  json::Object members;
  for (const auto* name : {"query", "operationName", "variables"}) {
    if (const auto* value = request.find(name)) members.emplace_back(name, *value);
  }
  out.data = std::move(members);
  return out;
}

json::Value from_query(std::string_view target) {
  json::Object request;
  const auto mark = target.find('?');
  auto rest = mark == std::string_view::npos ? std::string_view() : target.substr(mark + 1);
  while (!rest.empty()) {
    const auto part = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(part.size() + 1, rest.size()));
    const auto equals = std::min(part.find('='), part.size());
    const auto name = part.substr(0, equals);
    const auto text = url_decode(part.substr(std::min(equals + 1, part.size())));
    json::Value value;
    if (name == "query" || name == "operationName") value.data = text;
    if (name == "variables" || name == "extensions") value = json::parse(text);
    if (!value.is_null()) request.emplace_back(std::string(name), std::move(value));
  }
  json::Value out;
  out.data = std::move(request);
  return out;
}

}  // namespace

struct GraphqlFront::Context {
  std::string_view type;
};

namespace {

json::Value read_request(const http::Message& message) {
  if (message.method == "GET") return from_query(message.target);
  if (message.method != "POST") throw graphql::Error("METHOD_NOT_ALLOWED", "use POST or GET");
  const auto type = message.field("Content-Type").value_or("");
  if (!http::same_name(http::trim(type.substr(0, type.find(';'))), kOldType)) {
    throw graphql::Error("UNSUPPORTED_MEDIA_TYPE", "requests are application/json");
  }
  return json::parse(message.body);
}

}  // namespace

GraphqlFront::GraphqlFront(core::Core& core, GraphqlConfig config, metrics::Counters& counters)
    : core_(core), config_(std::move(config)), counters_(counters) {
  for (const auto& name : {config_.reading, config_.booking}) {
    if (!core_.knows_class(name)) throw config::Error("classes: the settings name no class " + name);
  }
  if (!core_.unsafe_class(config_.booking)) throw config::Error("classes.booking: must never be repeated");
}

graphql::Price GraphqlFront::price(const json::Value& request, bool safe_method) const {
  const auto* query = request.find("query");
  if (!query || !query->string()) throw graphql::Error("BAD_REQUEST", "query must be a text");
  const auto* name = request.find("operationName");
  if (name && !name->is_null() && !name->string()) {
    throw graphql::Error("BAD_REQUEST", "operationName must be a text");
  }
  const auto document = graphql::parse(*query->string(), config_.limits);
  const auto& operation = graphql::pick(document, name && name->string() ? *name->string() : "");
  if (operation.type == "subscription") {
    throw graphql::Error("OPERATION_NOT_SUPPORTED", "subscriptions are not served here");
  }
  if (operation.type == "mutation" && safe_method) {
    throw graphql::Error("METHOD_NOT_ALLOWED", "a mutation needs POST");
  }
  const auto variables = graphql::coerce(operation, request.find("variables"));
  return graphql::price(document, operation, variables, config_.costs, config_.limits);
}

Handled GraphqlFront::request(const Incoming& incoming) {
  const auto& message = incoming.message;
  if (is_health(message.target)) return {Reply{200, "ok\n", {}, "text/plain"}};
  const auto type = media_type(message);
  const auto reject = [&](int status, const std::string& code, const std::string& what) {
    ++counters_.graphql_rejected;
    return Handled{Reply{status, error_body(code, what), {}, type.value_or(kOldType)}};
  };
  const auto target = incoming.target.empty() ? message.target : incoming.target;
  if (target.substr(0, target.find('?')) != config_.path) {
    return reject(404, "NOT_FOUND", "GraphQL is at " + config_.path);
  }
  if (!type) return reject(406, "NOT_ACCEPTABLE", "answers are " + std::string(kNewType));
  try {
    return take(incoming);
  } catch (const json::Error& error) {
    return reject(400, "BAD_REQUEST", error.what());
  } catch (const graphql::Error& error) {
    if (error.code == "METHOD_NOT_ALLOWED") return reject(405, error.code, error.what());
    if (error.code == "UNSUPPORTED_MEDIA_TYPE") return reject(415, error.code, error.what());
    // With the older media type a well-formed request gets 200, whatever is wrong with its document.
    const bool formed =
        error.code != "BAD_REQUEST" && error.code != "COST_MISMATCH" && error.code != "UNIDENTIFIED";
    return reject(formed && *type == kOldType ? 200 : 400, error.code, error.what());
  }
}

Handled GraphqlFront::take(const Incoming& incoming) {
  const auto& message = incoming.message;
  const auto request = read_request(message);
  core::RpcTerms terms;
  const auto who = read_caller(message, core_, terms);
  if (!who.empty()) throw graphql::Error("UNIDENTIFIED", who);

  const auto* batch = request.array();
  if (batch && (batch->empty() || batch->size() > config_.limits.batch)) {
    throw graphql::Error("BAD_REQUEST", "a batch holds 1 to " + std::to_string(config_.limits.batch));
  }
  if (!batch && !request.object()) throw graphql::Error("BAD_REQUEST", "a request is an object");
  graphql::Price price;
  std::optional<double> stated = read_units(message);
  double stated_parts = 0;
  std::size_t parts = 0;
  const std::size_t count = batch ? batch->size() : 1;
  for (std::size_t i = 0; i < count; ++i) {
    const auto& one = batch ? (*batch)[i] : request;
    const auto part = this->price(one, message.method == "GET");
    const double units = std::max(1.0, std::ceil(part.units - 1e-9));
    price.units += units;
    price.booking = price.booking || part.booking;
    const auto* extensions = one.find("extensions");
    const auto* cost = extensions ? extensions->find("cost") : nullptr;
    if (!cost) continue;
    if (!cost->number()) throw graphql::Error("BAD_REQUEST", "extensions.cost must be a number");
    stated_parts += cost->as_double(0);
    ++parts;
    if (std::abs(cost->as_double(0) - units) > 1e-6) stated = -1;
  }
  if (parts == count && !stated) stated = stated_parts;
  if (stated && std::abs(*stated - price.units) > 1e-6) {
    ++counters_.graphql_cost_mismatch;
    throw graphql::Error("COST_MISMATCH", "the operation costs " + std::to_string(std::llround(price.units)));
  }
  const auto* plan = core_.plan(terms.plan);
  const double most = std::min(plan->rate > 0 ? plan->burst : core_.settings().most_units,
                               kMostTimes * core_.settings().most_units);
  if (!(price.units <= most)) {
    ++counters_.graphql_over_burst;
    throw graphql::Error("COST_ABOVE_BURST", "the operation costs more than the plan's store ever holds");
  }
  terms.klass = price.booking ? config_.booking : config_.reading;
  terms.units = price.units;
  if (terms.budget.count() <= 0) terms.budget = core_.patience_of(terms.klass);
  terms.budget = std::max(std::chrono::nanoseconds{}, terms.budget - incoming.waited);
  std::string body;
  json::write(body, forwarded(request));
  ++counters_.graphql_taken;
  auto context = std::make_shared<Context>(Context{*media_type(message)});
  auto payload = std::make_shared<GraphqlExchange>(config_.path, std::move(body), price.booking);
  payload->lasts = incoming.lasts;
  return {std::nullopt, core_.take(std::move(terms), std::move(payload), incoming.channel),
          std::move(context)};
}

// Priced once more where a route goes by class; what can't be priced belongs to none, and is told why by
// `take`.
std::string GraphqlFront::class_of(const http::Message& message) const {
  try {
    const auto request = read_request(message);
    const auto* batch = request.array();
    bool booking = false;
    for (std::size_t i = 0; i < (batch ? std::min(batch->size(), config_.limits.batch) : 1); ++i) {
      booking = price(batch ? (*batch)[i] : request, message.method == "GET").booking || booking;
    }
    return booking ? config_.booking : config_.reading;
  } catch (const std::exception&) {
    return {};
  }
}

Reply GraphqlFront::unavailable(std::chrono::nanoseconds come_back, const http::Message& message) {
  return unavailable_as(media_type(message).value_or(kOldType), come_back);
}

Reply GraphqlFront::answer(core::FinalAnswer&& answer, const std::shared_ptr<void>& context) {
  const auto type = static_cast<const Context*>(context.get())->type;
  if (answer.ending == core::Ending::served) {
    // The newer media type tells a request error by its status.
    const bool data = type == kOldType || answer.body.find("\"data\"") != std::string::npos;
    return {data ? 200 : 400, std::move(answer.body), {}, type};
  }
  if (answer.ending == core::Ending::failed) {
    return {502, error_body("FAILED", "the operation failed; it may have run"), {}, type};
  }
  return unavailable_as(type, answer.retry_after);
}

Reply GraphqlFront::malformed(int status) {
  return {status, error_body("BAD_REQUEST", std::string(http::reason(status))), {}, kOldType};
}

namespace {

std::vector<config::ListEntry> read_servers(const json::Value& root) {
  const std::string key = "GraphQL file: servers";
  const auto* servers = root.find("servers");
  if (!servers || !servers->array() || servers->array()->empty())
    throw config::Error(key + ": must list addresses");
  std::vector<config::ListEntry> out;
  for (const auto& server : *servers->array()) {
    if (!server.string()) throw config::Error(key + ": must list addresses");
    config::ListEntry entry;
    entry.name = *server.string();
    entry.state = "active";
    entry.address = config::parse_address(entry.name, key);
    out.push_back(std::move(entry));
  }
  return out;
}

}  // namespace

GraphqlConfig parse_graphql_config(std::string_view text, bool alone) {
  json::Value root;
  try {
    root = json::parse(text);
  } catch (const json::Error& error) {
    throw config::Error(std::string("the GraphQL file is not ") + error.what());
  }
  const auto wrong = [](const std::string& key, const char* what) -> config::Error {
    return config::Error("GraphQL file: " + key + ": " + what);
  };
  const auto text_at = [&](const json::Value& value, const char* name, const std::string& absent) {
    const auto* found = value.find(name);
    if (!found) return absent;
    if (!found->string()) throw wrong(name, "must be a text");
    return *found->string();
  };
  const auto number_at = [&](const json::Value& value, const std::string& name, double absent) {
    const auto* found = value.find(name);
    if (!found) return absent;
    const double v = found->as_double(-1);
    if (!found->number() || v < 0) throw wrong(name, "must be a number of 0 or more");
    return v;
  };
  GraphqlConfig config;
  if (alone) config.listen = config::parse_address(text_at(root, "listen", ""), "GraphQL file: listen");
  config.path = text_at(root, "path", config.path);
  if (!config.path.starts_with('/')) throw wrong("path", "must start with /");
  if (const auto* classes = root.find("classes")) {
    config.reading = text_at(*classes, "reading", config.reading);
    config.booking = text_at(*classes, "booking", config.booking);
  }
  if (alone) config.servers = read_servers(root);
  if (const auto* limits = root.find("limits")) {
    auto& l = config.limits;
    for (auto [name, into] : {std::pair{"bytes", &l.bytes},
                              {"depth", &l.depth},
                              {"tokens", &l.tokens},
                              {"batch", &l.batch},
                              {"fields", &l.fields}}) {
      *into = static_cast<std::size_t>(number_at(*limits, name, static_cast<double>(*into)));
    }
  }
  config.costs.object_cost = number_at(root, "object_cost", config.costs.object_cost);
  config.costs.leaf_cost = number_at(root, "leaf_cost", config.costs.leaf_cost);
  const auto* fields = root.find("fields");
  if (!fields || !fields->object()) throw wrong("fields", "must give costs by field");
  for (const auto& [name, value] : *fields->object()) {
    graphql::FieldCost cost;
    if (!value.object()) throw wrong("fields." + name, "must be an object");
    cost.cost = number_at(value, "cost", cost.cost);
    cost.usual_size = number_at(value, "usual_size", cost.usual_size);
    cost.size_argument = text_at(value, "size_argument", "");
    if (const auto* booking = value.find("booking")) {
      if (!booking->boolean()) throw wrong("fields." + name + ".booking", "must be true or false");
      cost.booking = *booking->boolean();
    }
    config.costs.fields.emplace(name, cost);
  }
  return config;
}

}  // namespace cranemux::front
