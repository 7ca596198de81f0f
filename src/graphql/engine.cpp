#include "graphql/engine.h"

#include <cmath>

#include "graphql/parser.h"

namespace cranemux::graphql {
namespace {

[[noreturn]] void reject(const std::string& code, const std::string& text) {
  throw Rejected(code, {{text, {}, {}}});
}

// The member of a request, if it is there and not null.
const json::Value* told(const json::Value& request, const char* name) {
  const auto* value = request.find(name);
  return value && !value->is_null() ? value : nullptr;
}

double whole_units(double units) { return std::max(1.0, std::ceil(units - 1e-9)); }

// Bounds that need no schema, before anything is walked.
struct Sizes {
  std::size_t aliases = 0, directives = 0;

  void count(const List<Selection>& selections) {
    for (const auto& s : selections) {
      aliases += s.alias.empty() ? 0 : 1;
      directives += s.directives.size();
      count(s.selections);
    }
  }
};

void check_sizes(const Document& document, const Limits& limits) {
  Sizes sizes;
  for (const auto& operation : document.operations) sizes.count(operation.selections);
  for (const auto& fragment : document.fragments) sizes.count(fragment.selections);
  const auto bound = [](std::size_t have, std::size_t most, const char* what) {
    if (have <= most) return;
    throw Error(std::string(kTooLarge), std::to_string(have) + " " + what + ", " + std::to_string(most) +
                                            " at most: ask for less at once");
  };
  bound(sizes.aliases, limits.aliases, "aliases");
  bound(sizes.directives, limits.directives, "directives");
  bound(document.fragments.size(), limits.fragments, "fragments");
}

}  // namespace

Rejected::Rejected(std::string code_, std::vector<Problem> problems_)
    : std::runtime_error(problems_.empty() ? code_ : problems_.front().text),
      code(std::move(code_)),
      problems(std::move(problems_)) {}

Rejected::Rejected(const Error& error)
    : Rejected(
          error.code,
          {{error.what(), error.at.line > 0 ? std::vector<Place>{error.at} : std::vector<Place>{}, {}}}) {}

Engine::Engine(EngineConfig config)
    : config_(std::move(config)),
      schema_(config_.schema.empty()
                  ? nullptr
                  : std::make_shared<const Schema>(config_.schema, config_.booking_fields)),
      store_(config_.cache_bytes) {}

Admitted Engine::admit(const json::Value& request, bool safe_method) {
  if (!request.object()) reject("BAD_REQUEST", "a request is an object");
  const auto* name = told(request, "operationName");
  if (name && !name->string()) reject("BAD_REQUEST", "operationName must be a text");
  const auto* variables = told(request, "variables");
  if (variables && !variables->object()) reject("BAD_REQUEST", "variables must be an object");
  if (const auto* extensions = told(request, "extensions"); extensions && !extensions->object()) {
    reject("BAD_REQUEST", "extensions must be an object");
  }
  Admitted out;
  out.text = text_of(request);
  try {
    out.checked = checked(out.text);
    const auto& operation = pick(out.checked->document, name ? *name->string() : std::string());
    out.kind = operation.kind;
    if (operation.kind != OperationKind::query && safe_method) {
      reject("METHOD_NOT_ALLOWED", "a " + std::string(name_of(operation.kind)) + " needs POST");
    }
    price(operation, variables, out);
  } catch (const Error& error) {
    throw Rejected(error);
  }
  out.units = whole_units(out.units);
  return out;
}

// ---- documents ----

std::string Engine::text_of(const json::Value& request) {
  const auto* query = told(request, "query");
  if (query && !query->string()) reject("BAD_REQUEST", "query must be a text");
  const auto* extensions = told(request, "extensions");
  const auto* persisted = extensions ? told(*extensions, "persistedQuery") : nullptr;
  const bool known = config_.automatic || !config_.trusted.empty();
  if (persisted && known) {
    const auto* version = persisted->find("version");
    const auto* hash = persisted->find("sha256Hash");
    if (!version || version->as_double(0) != 1) reject("BAD_REQUEST", "persistedQuery.version must be 1");
    if (!hash || !hash->string() || !is_sha256_hex(*hash->string())) {
      reject("BAD_REQUEST", "persistedQuery.sha256Hash must be 64 lower-case hex digits");
    }
    return registered(*hash->string(), query);
  }
  if (persisted && !query) reject("PERSISTED_QUERY_NOT_SUPPORTED", "PersistedQueryNotSupported");
  if (!query) reject("BAD_REQUEST", "query must be a text");
  if (config_.only_trusted && config_.trusted.count(sha256_hex(*query->string())) == 0) {
    ++store_.counts.untrusted;
    reject("UNTRUSTED_DOCUMENT", "only documents of the trusted list run here");
  }
  return *query->string();
}

std::string Engine::registered(const std::string& hash, const json::Value* query) {
  if (query && sha256_hex(*query->string()) != hash) {
    ++store_.counts.wrong_hash;
    reject("BAD_REQUEST", "sha256Hash is not the query's");
  }
  const auto trusted = config_.trusted.find(hash);
  if (trusted != config_.trusted.end()) return trusted->second;
  if (config_.only_trusted) {
    ++store_.counts.untrusted;
    reject("UNTRUSTED_DOCUMENT", "only documents of the trusted list run here");
  }
  if (!config_.automatic) {
    if (query) return *query->string();
    reject("PERSISTED_QUERY_NOT_SUPPORTED", "PersistedQueryNotSupported");
  }
  if (!query) {
    if (auto text = store_.persisted(hash)) return *std::move(text);
    ++store_.counts.not_found;
    reject("PERSISTED_QUERY_NOT_FOUND", "PersistedQueryNotFound");
  }
  if (query->string()->size() <= config_.limits.bytes) store_.persist(hash, *query->string());
  return *query->string();
}

std::shared_ptr<const Checked> Engine::checked(const std::string& text) {
  if (auto known = store_.find(text)) return known;
  auto made = std::make_shared<Checked>(parse(text, config_.limits));
  made->schema = schema_;
  check_sizes(made->document, config_.limits);
  if (schema_) {
    const auto faults = validate(*schema_, made->document, made->fragments, config_.limits);
    if (!faults.empty()) {
      std::vector<Rejected::Problem> problems;
      for (const auto& fault : faults)
        problems.push_back({fault.text, fault.at, std::string(name_of(fault.rule))});
      throw Rejected(std::string(kInvalid), std::move(problems));
    }
  } else {
    check_names(made->document);
  }
  store_.keep(text, made);
  return made;
}

// ---- price ----

void Engine::price(const Operation& operation, const json::Value* variables, Admitted& out) const {
  if (!schema_) {
    const auto values = coerce_variables(operation, variables);
    const auto price =
        price_by_fields(out.checked->document, operation, values, config_.costs, config_.limits);
    out.units = price.units;
    out.booking = price.booking;
    return;
  }
  const auto introspection = introspection_of(out.checked->fragments, operation);
  const bool tells = introspection == Introspection::some || introspection == Introspection::all;
  if (tells && !config_.introspection) {
    throw Error("INTROSPECTION_DISABLED", "this service does not tell its schema: ask its operators for it");
  }
  auto values = coerce_variables(*schema_, operation, variables);
  out.priced = priced(*out.checked, operation, values);
  if (introspection == Introspection::name || introspection == Introspection::all) {
    out.introspects = &operation;
    out.variables = std::move(values);
  }
  out.units = out.priced->units;
  out.booking = out.priced->booking;
}

// A client's screens ask the same with the same few sizes again and again.
std::shared_ptr<const Priced> Engine::priced(const Checked& checked, const Operation& operation,
                                             const Variables& values) const {
  constexpr std::size_t kKept = 8;
  for (const auto& price : checked.prices) {
    if (price.operation == &operation && same_price(*price.priced, values)) return price.priced;
  }
  auto made = graphql::price(*schema_, operation, values, config_.options, config_.limits);
  if (checked.prices.size() == kKept) checked.prices.erase(checked.prices.begin());
  checked.prices.push_back({&operation, made});
  return made;
}

std::string Admitted::own_answer() const {
  try {
    return introspect(*checked->schema, checked->fragments, *introspects, variables);
  } catch (const Error& error) {
    std::string out = R"({"errors":[{"message":)";
    json::write_string(out, error.what());
    out += R"(,"extensions":{"code":)";
    json::write_string(out, error.code);
    return out + "}}]}";
  }
}

const Operation& pick(const Document& document, std::string_view name) {
  const auto& all = document.operations;
  if (all.empty()) throw Error("OPERATION_NOT_FOUND", "the document holds no operation");
  if (name.empty()) {
    if (all.size() > 1) {
      throw Error("OPERATION_NOT_FOUND", "operationName must pick one of the operations");
    }
    return all.front();
  }
  for (const auto& operation : all) {
    if (operation.name == name) return operation;
  }
  throw Error("OPERATION_NOT_FOUND", "no operation is named '" + std::string(name) + "'");
}

}  // namespace cranemux::graphql
