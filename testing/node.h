// A stand-in dispatch node: a server of the platform's protocol that does what a test scripts, and counts its
// runs.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "http/http.h"
#include "testing/paced_answer.h"
#include "testing/rules.h"
#include "testing/stage.h"

namespace cranemux::testing {

constexpr milliseconds kConnectionRested{100};  // a connection that has served serves again by then

struct Behaviour {
  enum class Answer {
    good,      // 200 and a body that names the node and the request
    error,     // 500, and it has run
    declined,  // 503 with Srv-Declined: never ran
    stall,     // runs, and says nothing
    reset,     // runs, then breaks the connection
    spoilt,    // runs, then says what cannot be read
  };
  Answer answer = Answer::good;
  milliseconds delay{5};      // from the request's last byte to the answer
  milliseconds late_copy{0};  // a good or declining answer comes once more, so much later; 0: it does not
};

// Server-sent events instead of an answer: a text again and again, until the caller goes, or so many times;
// then it breaks off.
struct Events {
  std::string text;
  milliseconds every{20};
  std::size_t most = 0;                                // 0: without end
  Clock::time_point until = Clock::time_point::max();  // then it breaks off, too
};

class Node {
 public:
  // `name` is what the rules and the answers call it. `body`: of a good answer, where it is another.
  Node(Stage& stage, std::string name, Rules* rules = nullptr);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  int port() const;
  std::string address() const { return "127.0.0.1:" + std::to_string(port()); }
  const std::string& name() const { return name_; }

  Behaviour behaviour;
  std::function<Behaviour(const http::Message&)> script;  // instead, by request
  std::function<std::string(const http::Message&)> body;  // of a good answer
  std::function<std::string(const http::Message&)> id;    // of a request: its Req-Id, where nothing is set
  std::function<std::optional<Events>(const http::Message&)> events;  // none: an answer as ever
  // Bytes that are sent instead of an answer, as they are; then the connection ends where `raw_ends`.
  std::function<std::optional<std::string>(const http::Message&)> raw;
  bool raw_ends = false;
  std::function<std::optional<PacedAnswer>(const http::Message&)> paced;  // of a good answer; none: as ever
  std::size_t connections() const { return connections_; }                // that have come so far
  void close();  // stops listening, and breaks all connections

  std::size_t taken() const { return taken_; }  // requests whose last byte has come
  const std::map<std::string, std::size_t>& runs() const { return runs_; }  // by request id
  const std::string& last_target() const { return last_target_; }

 private:
  struct Talk;
  net::awaitable<void> accept();
  net::awaitable<void> serve(std::shared_ptr<Talk> talk);
  void look(const std::string& id);
  void over(Talk& talk);
  net::awaitable<void> stream(Talk& talk, Events events);
  net::awaitable<bool> answer(Talk& talk, const http::Message& message, const std::string& id);

  Stage& stage_;
  const std::string name_;
  Rules* rules_;
  net::tcp::acceptor acceptor_;
  metrics::Logger logger_;
  std::map<Talk*, std::weak_ptr<Talk>> talks_;
  std::size_t taken_ = 0, connections_ = 0;
  std::map<std::string, std::size_t> runs_;
  std::string last_target_;
  std::shared_ptr<char> alive_ = std::make_shared<char>();
};

}  // namespace cranemux::testing
