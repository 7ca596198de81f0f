// A stand-in client of the platform's protocol: sends when the test says, not when the last answer came, over
// connections that it keeps and opens as they are needed, and tells the rules what it saw.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "http/http.h"
#include "testing/rules.h"
#include "testing/stage.h"

namespace cranemux::testing {

struct Result {
  int status = 0;  // 0: the connection ended first
  std::string id, body, retry_after;
  std::uint16_t port = 0;  // of its connection, on the client's side
  Clock::time_point sent;
  std::chrono::nanoseconds took{};
  // What counts for its time: the last byte of an answer, of one beyond kHeldWhole the first.
  std::chrono::nanoseconds timed{};
};
constexpr std::size_t kHeldWhole = std::size_t{64} * 1024;  // bytes of a body

struct Ask {
  std::string host = "app.svc", target = "/api", klass = "job-status", plan = "business",
              customer = "0000000000000001";
  bool safe = true;
  bool posts = false;  // sent with a body, though it may be repeated
  double units = 1;
  int spread = 1;  // gatekeepers of its set, from the first on
  milliseconds deadline{2000};
  std::string extra = {};        // further header lines, each with its end
  std::string body = {};         // of an unsafe request; some text where it is empty
  std::string id = {};           // the client's own numbering where it is empty
  milliseconds leaves_after{0};  // closes its connection then, answer or not; 0: stays
  std::size_t piece = 0;         // sends so many bytes at a time, with pauses; 0: all at once
  std::function<void(const Result&)> done = {};
};

class Client {
 public:
  Client(Stage& stage, int port, Rules* rules = nullptr, std::string prefix = "r");
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  std::string send(const Ask& ask);  // returns its request id
  // At an even pace: so many a second for so long, `make` says what the n-th is.
  void pace(double per_s, milliseconds time, const std::function<Ask(std::size_t)>& make);
  // The same beside the test, which goes on at once; `finish` waits for it.
  void flow(double per_s, milliseconds time, std::function<Ask(std::size_t)> make);
  std::size_t open() const { return open_; }
  std::size_t idle_connections() const { return idle_.size(); }
  const std::vector<Result>& results() const { return results_; }
  std::size_t count(int status) const;
  // Plays until all that was sent has ended.
  bool finish(milliseconds most = milliseconds(20'000));
  // Sends bytes on a connection of its own and returns what comes until its end, or until a whole answer.
  std::string raw(const std::string& bytes);

 private:
  net::awaitable<void> exchange(Ask ask, std::string id);
  struct Answer {
    int status = 0;  // 0: it was not whole
    std::string body, retry_after;
    bool keeps = false, begun = false;
    Clock::time_point began;  // its first byte
  };
  net::awaitable<Answer> read_answer(std::shared_ptr<net::tcp::socket> socket);
  // False: the connection has failed.
  net::awaitable<bool> write(std::shared_ptr<net::tcp::socket> socket, std::string bytes, std::size_t piece);
  net::awaitable<void> pour(double per_s, std::size_t count, std::function<Ask(std::size_t)> make);

  Stage& stage_;
  net::tcp::endpoint to_;
  Rules* rules_;
  std::string prefix_;
  metrics::Logger logger_;
  std::size_t sent_ = 0, open_ = 0;
  std::deque<std::shared_ptr<net::tcp::socket>> idle_;
  std::vector<Result> results_;
  std::shared_ptr<char> alive_ = std::make_shared<char>();
};

// The p-th part (0 to 1) of the times of answers with that status that were sent within a stretch.
double percentile_ms(const std::vector<Result>& results, double p,
                     Clock::time_point from = Clock::time_point::min(),
                     Clock::time_point until = Clock::time_point::max());

}  // namespace cranemux::testing
