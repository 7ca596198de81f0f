#include "wire.h"

#include <array>
#include <istream>
#include <ostream>

namespace cranemux::wire {

using config::choose;
using config::flag_of;
using config::number_of;
using config::parse_number;
using config::required;
using config::text_of;

namespace {

constexpr std::string_view kBase64Alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr int kNoGateway = -1;            // before the first `instance` line of a batch
constexpr unsigned kRepeatFlag = 2;       // in the flags of `job_in`
constexpr std::size_t kQuotedLine = 200;  // bytes of a faulty line that an error message quotes

Result parse_result(const std::string& text) {
  return choose<Result>(text, "ending",
                        {{"ok", Result::ok},
                         {"error", Result::error},
                         {"full", Result::full},
                         {"timeout", Result::timeout},
                         {"connect_failed", Result::connect_failed},
                         {"reset", Result::reset},
                         {"cancelled", Result::cancelled},
                         {"moot", Result::not_sent}});
}

// Splits the text at each separator. Nothing follows a separator at its end.
std::vector<std::string> split(std::string_view text, char separator) {
  std::vector<std::string> parts;
  while (!text.empty()) {
    const auto end = text.find(separator);
    parts.emplace_back(text.substr(0, end));
    if (end == std::string_view::npos) break;
    text.remove_prefix(end + 1);
  }
  return parts;
}

// Reads the values of a `gauge` field, whose names the `stats.fields` setting lists in the same order. Names
// that are not known are ignored.
LoadReport parse_load(const std::string& row, const std::vector<std::string>& names) {
  LoadReport load;
  const auto values = split(row, ',');
  for (std::size_t i = 0; i < values.size() && i < names.size(); ++i) {
    const auto value = parse_number<double>(values[i], "gauge");
    if (names[i] == "outstanding") load.inflight = value;
    if (names[i] == "backlog") load.queue = value;
    if (names[i] == "utilization") load.util = value;
    if (names[i] == "recent_ms") load.service_ms = value;
    if (names[i] == "throughput") load.per_s = value;
    if (names[i] == "errors_per_s") load.errors_per_s = value;
  }
  return load;
}

ServerEntry parse_entry(const Fields& fields) {
  ServerEntry entry;
  entry.id = required(fields, "backend");
  entry.zone = text_of(fields, "zone");
  entry.cell = number_of<int>(fields, "cohort");
  entry.state = choose<ServerState>(required(fields, "readiness"), "readiness",
                                    {{"Running", ServerState::running},
                                     {"Stopping", ServerState::draining},
                                     {"Deleted", ServerState::removed}});
  entry.weight = number_of<double>(fields, "rating", 1.0);
  entry.started = number_of<Nanos>(fields, "start-time-ns");
  return entry;
}

// One simulated gateway.
struct Gateway {
  std::optional<DecisionModule> decision_module;  // none if its settings were rejected
  std::vector<std::string> load_names;            // of the values in LoadReports, in their order
  std::vector<Event> events;                      // since the last `commit`
  std::string error;                              // to be reported in the next reply; empty: none
};

// State of one connection to the simulator.
class Session {
 public:
  explicit Session(std::ostream& out) : out_(out) {}

  // Handles one line. Throws ParseError.
  void read_line(const std::string& text) {
    const auto space = text.find(' ');
    const auto name = std::string_view(text).substr(0, space);
    const auto rest =
        space == std::string::npos ? std::string_view() : std::string_view(text).substr(space + 1);
    if (entries_left_ > 0) {
      if (name != "m") throw ParseError("an entry was expected");
      lists_[list_].push_back(parse_entry(parse_fields(rest)));
      --entries_left_;
      return;
    }
    if (name == "commit") return reply();
    const auto fields = parse_fields(rest);
    if (name == "turn") {
      now_ = parse_number<Nanos>(required(fields, "at-time-ns"), "at-time-ns");
      gateway_id_ = kNoGateway;
    } else if (name == "instance") {
      gateway_id_ = parse_number<int>(required(fields, "door-id"), "door-id");
    } else if (name == "inventory") {
      list_ = parse_number<int>(required(fields, "ref"), "ref");
      entries_left_ = parse_number<int>(required(fields, "records"), "records");
      lists_[list_].clear();
    } else if (name == "configure") {
      configure(fields);
    } else if (name == "destroy") {
      gateways_.erase(gateway_id_);
    } else {
      add_event(name, fields);
    }
  }

 private:
  // Creates the current gateway anew. Rejected settings are reported in the reply.
  void configure(const Fields& fields) {
    auto& gateway = gateways_[gateway_id_];
    gateway = Gateway{};
    auto settings = parse_settings(fields);
    gateway.load_names = split(text_of(fields, "stats.fields"), ',');
    try {
      gateway.decision_module.emplace(settings);
    } catch (const std::exception& error) {
      gateway.error = error.what();
    }
  }

  // Adds an event for the current gateway.
  void add_event(std::string_view name, const Fields& fields) {
    const auto found = gateways_.find(gateway_id_);
    if (found == gateways_.end()) throw ParseError("no such instance");
    auto& gateway = found->second;
    auto& events = gateway.events;
    if (name == "job_in") {
      Request request;
      request.id = required(fields, "rid");
      request.klass = required(fields, "qos");
      request.plan = text_of(fields, "grade-of-service");
      request.customer = text_of(fields, "api-key");
      request.budget = number_of<Nanos>(fields, "time-budget-ns");
      request.units = number_of<double>(fields, "units", 1.0);
      request.first = number_of<int>(fields, "base");
      request.spread = number_of<int>(fields, "doors", 1);
      request.repeat = (number_of<unsigned>(fields, "flags") & kRepeatFlag) != 0;
      events.emplace_back(std::move(request));
    } else if (name == "result") {
      Outcome outcome;
      outcome.request = required(fields, "rid");
      outcome.attempt = number_of<int>(fields, "n");
      outcome.result = parse_result(required(fields, "ending"));
      outcome.took = number_of<Nanos>(fields, "cost-time-ns");
      outcome.finished = flag_of(fields, "settled");
      outcome.settled_units = number_of<double>(fields, "billed");
      outcome.load = parse_load(text_of(fields, "gauge"), gateway.load_names);
      events.emplace_back(std::move(outcome));
    } else if (name == "targets") {
      ServerList list;
      list.scope = choose<ListScope>(required(fields, "scope"), "scope",
                                     {{"diff", ListScope::changes},
                                      {"snapshot", ListScope::full},
                                      {"disk", ListScope::stored},
                                      {"error", ListScope::failed}});
      if (list.scope != ListScope::failed) list.servers = lists_[number_of<int>(fields, "ref")];
      events.emplace_back(std::move(list));
    } else if (name == "peer_data") {
      events.emplace_back(
          PeerMessage{number_of<int>(fields, "author"), decode_base64(text_of(fields, "body"))});
    } else if (name == "due") {
      events.emplace_back(Timer{number_of<std::uint64_t>(fields, "token")});
    } else if (name == "aborted") {
      events.emplace_back(ClientGone{required(fields, "rid")});
    } else if (name == "first_byte") {
      events.emplace_back(FirstByte{required(fields, "rid"), number_of<int>(fields, "n")});
    } else if (name == "probe_result") {
      events.emplace_back(ProbeResult{required(fields, "backend"), parse_result(required(fields, "ending")),
                                      number_of<Nanos>(fields, "cost-time-ns"),
                                      parse_load(text_of(fields, "gauge"), gateway.load_names)});
    } else if (name == "total") {
      events.emplace_back(CounterResult{number_of<std::uint64_t>(fields, "counter"),
                                        text_of(fields, "ending") == "ok",
                                        number_of<double>(fields, "total")});
    } else {
      throw ParseError("unknown message");
    }
  }

  // Ends a batch: steps each gateway that has events and writes its actions.
  void reply() {
    for (auto& [id, gateway] : gateways_) {
      if (gateway.events.empty() && gateway.error.empty()) continue;
      std::vector<Action> actions;
      try {
        if (gateway.decision_module) gateway.decision_module->step(now_, gateway.events, actions);
      } catch (const std::exception& error) {
        gateway.error = error.what();
      }
      gateway.events.clear();
      if (actions.empty() && gateway.error.empty()) continue;
      out_ << "context door-id=" << id << '\n';
      for (const auto& action : actions) out_ << format_action(action) << '\n';
      if (!gateway.error.empty()) out_ << "die words=" << gateway.error << '\n';
      gateway.error.clear();
    }
    out_ << "finished\n" << std::flush;
  }

  std::ostream& out_;
  std::map<int, Gateway> gateways_;
  std::map<int, std::vector<ServerEntry>> lists_;  // by `ref`
  Nanos now_ = 0;
  int gateway_id_ = kNoGateway;  // that lines refer to, by `instance`
  int list_ = 0;                 // that `m` lines belong to
  int entries_left_ = 0;         // `m` lines to come
};

// A visitor of std::visit made of lambdas.
template <class... Ts>
struct Overloaded : Ts... {
  using Ts::operator()...;
};
template <class... Ts>
Overloaded(Ts...) -> Overloaded<Ts...>;

}  // namespace

Fields parse_fields(std::string_view rest) {
  Fields fields;
  while (!rest.empty()) {
    const auto end = rest.find(' ');
    const auto part = rest.substr(0, end);
    const auto equals = part.find('=');
    if (!part.empty() && equals == std::string_view::npos) {
      throw ParseError("not name=value: " + std::string(part));
    }
    if (!part.empty()) {
      const auto name = part.substr(0, equals);
      const auto value = part.substr(equals + 1);
      fields.insert_or_assign(std::string(name), std::string(value));
    }
    if (end == std::string_view::npos) break;
    rest.remove_prefix(end + 1);
  }
  return fields;
}

std::string encode_base64(std::string_view bytes) {
  if (bytes.empty()) return "-";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group = group << 8U | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text += i + j > bytes.size() ? '=' : kBase64Alphabet[group >> (18U - 6U * j) & 63U];
    }
  }
  return text;
}

std::string decode_base64(std::string_view text) {
  std::string bytes;
  if (text == "-" || text.empty()) return bytes;
  if (text.size() % 4 != 0) throw ParseError("damaged base64");
  for (int padding = 0; padding < 2 && text.ends_with('='); ++padding) text.remove_suffix(1);
  std::uint32_t group = 0;
  unsigned bits = 0;
  for (const char c : text) {
    const auto value = kBase64Alphabet.find(c);
    if (value == std::string_view::npos) throw ParseError("damaged base64");
    group = group << 6U | static_cast<std::uint32_t>(value);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      bytes += static_cast<char>(group >> bits & 255U);
    }
  }
  return bytes;
}

std::string format_action(const Action& action) {
  const auto number = [](auto value) { return std::to_string(value); };
  return std::visit(
      Overloaded{
          [&](const Send& a) {
            return "place rid=" + a.request + " backend=" + a.server + " patience-ns=" + number(a.timeout);
          },
          [&](const Cancel& a) { return "recall rid=" + a.request + " n=" + number(a.attempt); },
          [&](const Refuse& a) {
            return "bounce rid=" + a.request +
                   (a.retry_after > 0 ? " retry-after-ns=" + number(a.retry_after) : "");
          },
          [&](const Fail& a) { return "error rid=" + a.request; },
          [&](const SetTimer& a) { return "arm token=" + number(a.token) + " at-ns=" + number(a.at); },
          [&](const Probe& a) { return "inspect backend=" + a.server; },
          [&](const SendToPeer& a) {
            return "announce whom=" + number(a.to) + " body=" + encode_base64(a.bytes);
          },
          [&](const WatchServers&) { return std::string("stream_changes enable=1"); },
          [&](const Log& a) { return "remark words=" + a.text; },
          // Never returned here: the simulator has no hand-over.
          [&](const SpentElsewhere&) { return std::string("remark words=handed over"); },
      },
      action);
}

void serve(std::istream& in, std::ostream& out) {
  Session session(out);
  std::string line;
  while (std::getline(in, line)) {
    if (line.empty()) continue;
    try {
      session.read_line(line);
    } catch (const ParseError& error) {
      throw ParseError("cannot read line '" + line.substr(0, kQuotedLine) + "': " + error.what());
    }
  }
}

}  // namespace cranemux::wire
