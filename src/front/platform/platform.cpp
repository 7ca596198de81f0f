#include "front/platform/platform.h"

#include <algorithm>
#include <cmath>

#include "front/body_relay.h"
#include "front/fields.h"

namespace cranemux::front {
namespace {

constexpr std::size_t kMostId = 128;
constexpr double kMostFigure = 1e9;

// What a worker tells of itself may be anything; what makes no sense is not told at all.
std::optional<double> figure(std::string_view text) {
  const auto value = number<double>(text);
  return value && *value >= 0 && *value <= kMostFigure ? value : std::nullopt;
}

using OpenIds = std::unordered_set<std::string>;

class PlatformExchange : public attempt::Exchange {
 public:
  PlatformExchange(const http::Message& message, std::string_view target,
                   std::shared_ptr<const std::vector<std::string>> load_fields, std::shared_ptr<OpenIds> open,
                   std::shared_ptr<RecentIds> recent, std::string id, std::shared_ptr<attempt::BodyPipe> pipe)
      : pipe_(std::move(pipe)),
        load_fields_(std::move(load_fields)),
        open_(std::move(open)),
        recent_(std::move(recent)),
        id_(std::move(id)) {
    open_->insert(id_);
    head_.append(message.method).append(" ").append(target).append(" HTTP/1.1\r\nHost: ");
    head_.append(message.field("Host").value_or("worker")).append("\r\nReq-Id: ");
    head_.append(message.field("Req-Id").value_or("")).append("\r\nReq-Kind: ");
    head_.append(message.field("Req-Kind").value_or("")).append("\r\n");
    for (const auto* name : {"Content-Type", "Idempotency-Key"}) {
      if (const auto value = message.field(name))
        head_.append(name).append(": ").append(*value).append("\r\n");
    }
    if (!pipe_ && (!message.body.empty() || message.method != "GET")) {
      head_ += "Content-Length: " + std::to_string(message.body.size()) + "\r\n";
    }
    body_ = message.body;
  }

  ~PlatformExchange() override { open_->erase(id_); }
  PlatformExchange(const PlatformExchange&) = delete;
  PlatformExchange& operator=(const PlatformExchange&) = delete;

  std::string message(std::chrono::milliseconds patience) const override {
    std::string out;
    out.reserve(head_.size() + body_.size() + 48);
    out.append(head_).append("Req-Deadline-Ms: ").append(std::to_string(patience.count()));
    if (pipe_) {
      const auto length = pipe_->length();
      out.append(length ? "\r\nContent-Length: " + std::to_string(*length)
                        : std::string("\r\nTransfer-Encoding: chunked"));
    }
    return out.append("\r\n\r\n").append(body_);
  }

  bool may_be_long() const override { return true; }
  std::string_view id() const override { return id_; }
  std::shared_ptr<attempt::BodyPipe> body() const override { return pipe_; }
  bool repeatable() const override { return !pipe_ || pipe_->repeatable(); }

  void may_have_run(std::chrono::nanoseconds patience) const override {
    const auto now = net::Clock::now();
    recent_->add(id_, now + patience, now);
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
    if (const auto cost = answer.field("X-Cost-Units")) result.true_units = figure(*cost).value_or(0);
    return result;
  }

 private:
  std::shared_ptr<attempt::BodyPipe> pipe_;
  std::string head_, body_;
  std::shared_ptr<const std::vector<std::string>> load_fields_;
  std::shared_ptr<OpenIds> open_;
  std::shared_ptr<RecentIds> recent_;
  std::string id_;
};

Reply unavailable(std::chrono::nanoseconds come_back) { return {429, {}, retry_after_field(come_back)}; }

}  // namespace

cranemux::LoadReport parse_load(std::string_view text, const std::vector<std::string>& fields) {
  cranemux::LoadReport load;
  text = http::trim(text);
  if (text.starts_with("TEXT ")) text.remove_prefix(5);
  const auto get = [&](std::optional<double>& into, std::string_view setting, std::string_view name) {
    if (std::find(fields.begin(), fields.end(), setting) == fields.end()) return;
    auto value = member(text, name, ',');
    if (value.empty()) value = member(text, setting, ',');
    into = figure(value);
  };
  get(load.inflight, "outstanding", "inflight");
  get(load.queue, "backlog", "queue");
  get(load.util, "utilization", "util");
  get(load.service_ms, "recent_ms", "latency_ms");
  get(load.per_s, "throughput", "qps");
  get(load.errors_per_s, "errors_per_s", "eps");
  return load;
}

PlatformFront::PlatformFront(core::Core& core, std::vector<std::string> load_fields,
                             metrics::Counters& counters)
    : core_(core),
      counters_(counters),
      load_fields_(std::make_shared<const std::vector<std::string>>(std::move(load_fields))) {}

std::optional<Reply> PlatformFront::read(const http::Message& message, bool has_body,
                                         core::RpcTerms& terms) const {
  const auto bad = [](const std::string& what, int status = 400) {
    return Reply{status, what + "\n", {}, "text/plain"};
  };
  const auto id = message.field("Req-Id").value_or("");
  if (id.empty()) return bad("Req-Id is missing");
  if (id.size() > kMostId) return bad("Req-Id is too long");
  terms.klass = message.field("Req-Kind").value_or("");
  if (!core_.knows_class(terms.klass)) return bad("Req-Kind names no class");
  const bool safe = core_.is(terms.klass, cranemux::Repeat::safe);
  if (message.method != (safe ? "GET" : "POST")) {
    return bad("the class of Req-Kind goes by another method", 405);
  }
  const auto key = message.field("Idempotency-Key").value_or("");
  if (key.empty() && core_.is(terms.klass, cranemux::Repeat::keyed)) return bad("Idempotency-Key is missing");
  if (key.size() > kMostId) return bad("Idempotency-Key is too long");
  if (message.method == "GET" && has_body) return bad("GET brings no body");
  if (!message.field("Req-Deadline-Ms")) return bad("Req-Deadline-Ms is missing");
  if (const auto wrong = read_caller(message, core_, terms); !wrong.empty()) return bad(wrong);
  const auto units = read_units(message);
  if (!units || !(*units >= 1 && *units <= core_.settings().most_units) || *units != std::floor(*units)) {
    return bad("X-Call-Terms: no units");
  }
  terms.units = *units;
  if (is_known(std::string(id)))
    return bad("Req-Id is that of a request that is open, or that may have run", 409);
  return std::nullopt;
}

bool PlatformFront::is_known(const std::string& id) const {
  return open_->contains(id) || elsewhere_.contains(id) || recent_->contains(id, net::Clock::now());
}

std::vector<std::string> PlatformFront::known_ids() const {
  auto ids = recent_->all(net::Clock::now());
  ids.insert(ids.end(), open_->begin(), open_->end());
  ids.insert(ids.end(), elsewhere_.begin(), elsewhere_.end());
  return ids;
}

void PlatformFront::taken_elsewhere(const std::string& id) {
  if (elsewhere_.size() < RecentIds::kMostIds) elsewhere_.insert(id);
}

void PlatformFront::other_process_ended() {
  const auto now = net::Clock::now();
  for (const auto& id : std::exchange(elsewhere_, {})) recent_->add(id, now + core_.longest_patience(), now);
}

Handled PlatformFront::request(const Incoming& incoming) {
  const auto& message = incoming.message;
  core::RpcTerms terms;
  if (auto wrong = read(message, incoming.body || !message.body.empty(), terms)) return {std::move(wrong)};
  terms.budget = std::max(std::chrono::nanoseconds{}, terms.budget - incoming.waited);
  terms.uploading = incoming.body && !incoming.body->whole();
  const auto target = incoming.target.empty() ? message.target : incoming.target;
  std::string id(*message.field("Req-Id"));
  if (on_taken && !core_.is(terms.klass, cranemux::Repeat::safe)) on_taken(id);
  auto payload = std::make_shared<PlatformExchange>(message, target, load_fields_, open_, recent_,
                                                    std::move(id), incoming.body);
  payload->lasts = incoming.lasts;
  const auto budget = terms.budget;
  return {.rpc = core_.take(std::move(terms), std::move(payload), incoming.channel), .budget = budget};
}

Reply PlatformFront::answer(core::FinalAnswer&& answer, const std::shared_ptr<void>&) {
  if (answer.ending == core::Ending::served && answer.stream) {
    auto up = std::static_pointer_cast<attempt::Upstream>(std::move(answer.stream));
    Reply reply;
    reply.stream = std::make_shared<BodyRelay>(std::move(up), answer.lane, counters_);
    return reply;
  }
  if (answer.ending == core::Ending::served) return {200, std::move(answer.body)};
  if (answer.ending == core::Ending::failed) return {502, {}};
  return front::unavailable(answer.retry_after);
}

Reply PlatformFront::malformed(int status) {
  return {status, std::string(http::reason(status)) + "\n", {}, "text/plain"};
}

Reply PlatformFront::unavailable(std::chrono::nanoseconds come_back, const http::Message&) {
  return front::unavailable(come_back);
}

std::string PlatformFront::class_of(const http::Message& message) const {
  return std::string(message.field("Req-Kind").value_or(""));
}

}  // namespace cranemux::front
