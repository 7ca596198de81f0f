#include "front/graphql/graphql.h"

#include <algorithm>
#include <cmath>
#include <sstream>

#include "front/fields.h"
#include "front/graphql/exchange.h"

namespace cranemux::front {
namespace {

constexpr std::chrono::seconds kSubscriptionComeBack{5};
constexpr double kMostTimes = 50;  // the module's weights tell requests apart up to so many times most_units

Reply unavailable_as(std::string_view type, std::chrono::nanoseconds come_back,
                     const std::string& cost = {}) {
  return {429, error_body("UNAVAILABLE", "not run: come back later", come_back, cost),
          retry_after_field(come_back), type};
}

// An error is no stream.
std::string_view error_type(std::string_view type) { return type == kEventType ? kNewType : type; }

std::string one_line(std::string text) {
  std::replace(text.begin(), text.end(), '\n', ' ');
  std::replace(text.begin(), text.end(), '\r', ' ');
  return text;
}

// Media types that a client accepts: ours, if any of them is.
std::optional<std::string_view> media_type(const http::Message& message) {
  const auto accept = message.field("Accept");
  if (!accept || accept->find(kNewType) != std::string_view::npos) return kNewType;
  for (const auto any : {kOldType, std::string_view("application/*"), std::string_view("*/*")}) {
    if (accept->find(any) != std::string_view::npos) return kOldType;
  }
  // A stream takes an answer as its one event.
  if (accept->find(kEventType) != std::string_view::npos) return kEventType;
  return std::nullopt;
}

// With the older media type a well-formed request gets 200, whatever is wrong with its document.
int status_of(const std::string& code, std::string_view type) {
  if (code == "METHOD_NOT_ALLOWED") return 405;
  if (code == "UNSUPPORTED_MEDIA_TYPE") return 415;
  if (code == "NOT_ACCEPTABLE") return 406;
  const bool formed = code != "BAD_REQUEST" && code != "COST_MISMATCH" && code != "UNIDENTIFIED";
  return formed && type == kOldType ? 200 : 400;
}

// Every problem as an error of its own, with its places and the rule that it breaks.
std::string body_of(const graphql::Rejected& rejected) {
  json::Array errors;
  const auto text = [](std::string_view value) {
    json::Value out;
    out.data = std::string(value);
    return out;
  };
  const auto number = [](std::uint32_t value) {
    json::Value out;
    out.data = json::Number{std::to_string(value)};
    return out;
  };
  const auto object = [](json::Object members) {
    json::Value out;
    out.data = std::move(members);
    return out;
  };
  for (const auto& problem : rejected.problems) {
    json::Object error{{"message", text(problem.text)}};
    json::Array places;
    for (const auto& at : problem.at) {
      places.push_back(object({{"line", number(at.line)}, {"column", number(at.column)}}));
    }
    if (!places.empty()) {
      json::Value locations;
      locations.data = std::move(places);
      error.emplace_back("locations", std::move(locations));
    }
    json::Object extensions{{"code", text(rejected.code)}};
    if (!problem.rule.empty()) extensions.emplace_back("rule", text(problem.rule));
    error.emplace_back("extensions", object(std::move(extensions)));
    errors.push_back(object(std::move(error)));
  }
  json::Value list;
  list.data = std::move(errors);
  std::string out;
  json::write(out, object({{"errors", std::move(list)}}));
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
  std::string plan, customer;
  double units = 0;
  bool tells_cost = false;
  std::shared_ptr<Subscriber> subscriber;  // of a subscription
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

GraphqlSetup set_up_graphql(const std::string& file, bool alone) {
  GraphqlSetup setup;
  setup.file = config::load_graphql_file(file, alone);
  try {
    setup.engine = std::make_shared<graphql::Engine>(setup.file.engine);
  } catch (const graphql::SchemaError& error) {
    std::string lines;
    std::istringstream in(error.what());
    for (std::string line; std::getline(in, line);)
      lines += (lines.empty() ? "" : "\n") + file + ": schema:" + line;
    throw config::Error(lines);
  }
  return setup;
}

GraphqlFront::GraphqlFront(core::Core& core, GraphqlSetup setup, metrics::Counters& counters)
    : core_(core), setup_(std::move(setup)), counters_(counters) {
  check(core_, setup_);
}

void GraphqlFront::check(const core::Core& core, const GraphqlSetup& setup) {
  for (const auto& name : {setup.file.reading, setup.file.booking}) {
    if (!core.knows_class(name)) throw config::Error("classes: the settings name no class " + name);
  }
  if (!core.is(setup.file.booking, cranemux::Repeat::unsafe))
    throw config::Error("classes.booking: must never be repeated");
}

void GraphqlFront::adopt(GraphqlSetup setup) {
  count_documents();
  setup_ = std::move(setup);
  counted_ = setup_.engine->counts();
}

// What the engine's store has counted since the last look; an engine goes at a reload, the counters stay.
void GraphqlFront::count_documents() {
  const auto now = setup_.engine->counts();
  counters_.documents_cached += now.hits - counted_.hits;
  counters_.documents_read += now.misses - counted_.misses;
  counters_.documents_evicted += now.evicted - counted_.evicted;
  counters_.documents_registered += now.registered - counted_.registered;
  counters_.documents_not_found += now.not_found - counted_.not_found;
  counters_.documents_wrong_hash += now.wrong_hash - counted_.wrong_hash;
  counters_.documents_untrusted += now.untrusted - counted_.untrusted;
  counted_ = now;
}

// What the operations of a request cost and do, together.
struct GraphqlFront::Operations {
  std::vector<graphql::Admitted> admitted;
  double units = 0;
  bool booking = false;
};

GraphqlFront::Operations GraphqlFront::admit(const json::Value& request, bool safe_method) const {
  Operations out;
  const auto* batch = request.array();
  const auto most = setup_.file.engine.limits.batch;
  if (batch && (batch->empty() || batch->size() > most)) {
    throw graphql::Error("BAD_REQUEST", "a batch holds 1 to " + std::to_string(most));
  }
  const std::size_t count = batch ? batch->size() : 1;
  for (std::size_t i = 0; i < count; ++i) {
    auto one = setup_.engine->admit(batch ? (*batch)[i] : request, safe_method);
    if (one.kind == graphql::OperationKind::subscription) {
      if (setup_.file.subscriptions.most == 0) {
        throw graphql::Error("OPERATION_NOT_SUPPORTED", "subscriptions are not served here");
      }
      if (batch) throw graphql::Error("BAD_REQUEST", "a subscription cannot stand in a batch");
    }
    out.units += one.units;
    out.booking = out.booking || one.booking;
    out.admitted.push_back(std::move(one));
  }
  return out;
}

// A client may state what it believes the request costs, by operation or in all.
void GraphqlFront::check_stated(const http::Message& message, const json::Value& request,
                                const Operations& operations) {
  auto stated = read_units(message);
  double sum = 0;
  std::size_t parts = 0;
  const auto* batch = request.array();
  for (std::size_t i = 0; i < operations.admitted.size(); ++i) {
    const auto* extensions = (batch ? (*batch)[i] : request).find("extensions");
    const auto* cost = extensions ? extensions->find("cost") : nullptr;
    if (!cost) continue;
    if (!cost->number()) throw graphql::Error("BAD_REQUEST", "extensions.cost must be a number");
    sum += cost->as_double(0);
    ++parts;
    if (std::abs(cost->as_double(0) - operations.admitted[i].units) > 1e-6) stated = -1;
  }
  if (parts == operations.admitted.size() && !stated) stated = sum;
  if (!stated || std::abs(*stated - operations.units) <= 1e-6) return;
  ++counters_.graphql_cost_mismatch;
  throw graphql::Error("COST_MISMATCH",
                       "the operation costs " + std::to_string(std::llround(operations.units)));
}

// What a plan's store may ever hold, as far as the module can weigh it.
double GraphqlFront::most_units(const core::RpcTerms& terms) const {
  const auto* plan = core_.plan(terms.plan);
  return std::min(plan->rate > 0 ? plan->burst : core_.settings().most_units,
                  kMostTimes * core_.settings().most_units);
}

void GraphqlFront::check_burst(const core::RpcTerms& terms) {
  if (terms.units <= most_units(terms)) return;
  ++counters_.graphql_over_burst;
  throw graphql::Error("COST_ABOVE_BURST", "the operation costs " +
                                               std::to_string(std::llround(terms.units)) +
                                               ", more than the plan's store ever holds");
}

Handled GraphqlFront::request(const Incoming& incoming) {
  const auto& message = incoming.message;
  const auto type = media_type(message);
  const auto reject = [&](int status, const std::string& code, const std::string& what) {
    ++counters_.graphql_rejected;
    return Handled{Reply{status, error_body(code, what), {}, error_type(type.value_or(kOldType))}};
  };
  const auto target = incoming.target.empty() ? message.target : incoming.target;
  if (target.substr(0, target.find('?')) != setup_.file.path) {
    return reject(404, "NOT_FOUND", "GraphQL is at " + setup_.file.path);
  }
  if (!type) return reject(406, "NOT_ACCEPTABLE", "answers are " + std::string(kNewType));
  const auto counts = std::shared_ptr<void>(nullptr, [this](void*) { count_documents(); });
  try {
    return take(incoming);
  } catch (const json::Error& error) {
    return reject(400, "BAD_REQUEST", error.what());
  } catch (const graphql::Rejected& rejected) {
    ++counters_.graphql_rejected;
    return {Reply{status_of(rejected.code, *type), body_of(rejected), {}, error_type(*type)}};
  } catch (const graphql::Error& error) {
    return reject(status_of(error.code, *type), error.code, error.what());
  }
}

// None: too many are open. Throws where the client can't take events.
std::shared_ptr<Subscriber> GraphqlFront::subscriber_of(const http::Message& message,
                                                        const graphql::Admitted& admitted,
                                                        const core::RpcTerms& terms) {
  if (message.field("Accept").value_or("").find(kEventType) == std::string_view::npos) {
    throw graphql::Error("NOT_ACCEPTABLE", "a subscription needs Accept: text/event-stream");
  }
  const auto& limits = setup_.file.subscriptions;
  auto place = subscribers_.take(terms.customer, limits);
  if (!place) return nullptr;
  auto event = terms;
  event.klass = setup_.file.reading;
  event.budget = core_.patience_of(event.klass);
  event.repeat = false;
  return std::make_shared<Subscriber>(
      Subscriber{admitted, event, most_units(terms), limits, std::move(place)});
}

GraphqlFront::~GraphqlFront() {
  for (const auto& weak : std::exchange(open_, {})) {
    if (const auto one = weak.lock()) one->end();
  }
}

Handled GraphqlFront::take(const Incoming& incoming) {
  const auto& message = incoming.message;
  const auto request = read_request(message);
  core::RpcTerms terms;
  const auto who = read_caller(message, core_, terms);
  if (!who.empty()) throw graphql::Error("UNIDENTIFIED", who);
  auto operations = admit(request, message.method == "GET");
  check_stated(message, request, operations);
  terms.units = operations.units;
  check_burst(terms);
  auto context = std::make_shared<Context>(Context{
      *media_type(message), terms.plan, terms.customer, terms.units, setup_.file.cost_in_answers, {}});
  const bool subscribes = operations.admitted.front().kind == graphql::OperationKind::subscription;
  if (subscribes) {
    context->subscriber = subscriber_of(message, operations.admitted.front(), terms);
    if (!context->subscriber) {
      ++counters_.subscriptions_refused;
      return {unavailable_as(kNewType, kSubscriptionComeBack)};
    }
  }
  // One that may have begun is never begun again: as a booking.
  terms.klass = operations.booking || subscribes ? setup_.file.booking : setup_.file.reading;
  if (terms.budget.count() <= 0) terms.budget = core_.patience_of(terms.klass);
  terms.budget = std::max(std::chrono::nanoseconds{}, terms.budget - incoming.waited);
  ++counters_.graphql_taken;
  auto body = forwarded(request, operations.admitted);
  Store store;
  if (setup_.file.cost_in_answers) {
    store = [&core = core_, customer = terms.customer] { return core.allowance(customer); };
  }
  auto payload = std::make_shared<GraphqlExchange>(
      setup_.file.path, std::move(body), std::move(operations.admitted), request.array() != nullptr, store);
  payload->lasts = incoming.lasts;
  return {std::nullopt, core_.take(std::move(terms), std::move(payload), incoming.channel),
          std::move(context)};
}

// What can't be admitted belongs to no class, and is told why by `take`.
std::string GraphqlFront::class_of(const http::Message& message) const {
  try {
    const bool booking = admit(read_request(message), message.method == "GET").booking;
    return booking ? setup_.file.booking : setup_.file.reading;
  } catch (const std::exception&) {
    return {};
  }
}

Reply GraphqlFront::unavailable(std::chrono::nanoseconds come_back, const http::Message& message) {
  return unavailable_as(media_type(message).value_or(kOldType), come_back);
}

// What the caller has left of its quota goes with every final answer.
Reply GraphqlFront::answer(core::FinalAnswer&& answer, const std::shared_ptr<void>& context) {
  const auto& asked = *static_cast<const Context*>(context.get());
  const auto store = core_.allowance(asked.customer);
  auto reply = answer_as(std::move(answer), asked, store);
  if (store) reply.fields += rate_limit_fields(asked.plan, *store);
  return reply;
}

Reply GraphqlFront::answer_as(core::FinalAnswer&& answer, const Context& asked,
                              const std::optional<cranemux::Allowance>& store) {
  if (answer.stream && asked.subscriber) {
    if (answer.lane) ++answer.lane->completed;  // once it is open
    auto up = std::static_pointer_cast<attempt::Upstream>(std::move(answer.stream));
    auto made = std::make_shared<Subscription>(std::move(*asked.subscriber), std::move(up), core_, counters_);
    std::erase_if(open_, [](const auto& weak) { return weak.expired(); });
    open_.push_back(made);
    return {200, "", "Cache-Control: no-cache\r\n", kEventType, std::move(made)};
  }
  if (asked.type == kEventType && answer.ending == core::Ending::served) {
    return {
        200,
        graphql::event_text("next", one_line(std::move(answer.body))) + graphql::event_text("complete", ""),
        {},
        kEventType};
  }
  const auto type = error_type(asked.type);
  if (answer.ending == core::Ending::served) {
    // The newer media type tells a request error by its status.
    const bool data = type == kOldType || answer.body.find("\"data\"") != std::string::npos;
    return {data ? 200 : 400, std::move(answer.body), {}, type};
  }
  if (answer.ending == core::Ending::failed) {
    return {502, error_body("FAILED", "the operation failed; it may have run"), {}, type};
  }
  std::string cost;
  if (asked.tells_cost) json::write(cost, cost_value(asked.units, std::nullopt, store));
  return unavailable_as(type, answer.retry_after, cost);
}

Reply GraphqlFront::malformed(int status) {
  return {status, error_body("BAD_REQUEST", std::string(http::reason(status))), {}, kOldType};
}

}  // namespace cranemux::front
