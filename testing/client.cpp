#include "testing/client.h"

#include <unistd.h>

#include <algorithm>
namespace cranemux::testing {

Client::Client(Stage& stage, int port, Rules* rules, std::string prefix)
    : stage_(stage),
      to_(net::asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(port)),
      rules_(rules),
      prefix_(std::move(prefix)),
      logger_(STDERR_FILENO, metrics::Level::error) {}

Client::~Client() = default;

std::size_t Client::count(int status) const {
  return static_cast<std::size_t>(
      std::count_if(results_.begin(), results_.end(), [&](const auto& r) { return r.status == status; }));
}

std::string Client::send(const Ask& ask) {
  ++sent_;
  const auto id = ask.id.empty() ? prefix_ + std::to_string(sent_) : ask.id;
  ++open_;
  if (rules_) rules_->asked(id, ask.safe, ask.customer, ask.units, Clock::now(), ask.deadline);
  net::spawn(stage_.io(), logger_, "stand-in client", exchange(ask, id));
  return id;
}

void Client::pace(double per_s, milliseconds time, const std::function<Ask(std::size_t)>& make) {
  const auto start = Clock::now();
  const auto count = static_cast<std::size_t>(per_s * std::chrono::duration<double>(time).count());
  for (std::size_t i = 0; i < count; ++i) {
    const auto at = start + std::chrono::duration_cast<Clock::duration>(
                                std::chrono::duration<double>(static_cast<double>(i) / per_s));
    while (Clock::now() < at) {
      stage_.play(std::max(milliseconds(1), std::chrono::duration_cast<milliseconds>(at - Clock::now())));
    }
    send(make(i));
  }
}

void Client::flow(double per_s, milliseconds time, std::function<Ask(std::size_t)> make) {
  ++open_;
  const auto count = static_cast<std::size_t>(per_s * std::chrono::duration<double>(time).count());
  net::spawn(stage_.io(), logger_, "client", pour(per_s, count, std::move(make)));
}

net::awaitable<void> Client::pour(double per_s, std::size_t count, std::function<Ask(std::size_t)> make) {
  const std::weak_ptr<char> alive = alive_;
  net::asio::steady_timer timer(stage_.io());
  auto at = Clock::now();
  for (std::size_t i = 0; i < count; ++i) {
    at += std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(1 / per_s));
    timer.expires_at(at);
    co_await timer.async_wait(net::kResult);
    if (alive.expired()) co_return;
    send(make(i));
  }
  --open_;
}

bool Client::finish(milliseconds most) {
  return stage_.play_until([this] { return open_ == 0; }, most);
}

net::awaitable<bool> Client::write(std::shared_ptr<net::tcp::socket> socket, std::string bytes,
                                   std::size_t piece) {
  constexpr milliseconds kPause{2};
  if (piece == 0) piece = bytes.size();
  net::asio::steady_timer pause(stage_.io());
  for (std::size_t at = 0; at < bytes.size(); at += piece) {
    if (at > 0) {
      pause.expires_after(kPause);
      co_await pause.async_wait(net::kResult);
    }
    const auto [error, count] = co_await net::asio::async_write(
        *socket, net::asio::buffer(std::string_view(bytes).substr(at, piece)), net::kResult);
    if (error) co_return false;
  }
  co_return true;
}

net::awaitable<Client::Answer> Client::read_answer(std::shared_ptr<net::tcp::socket> socket) {
  Answer answer;
  std::string in;
  http::Message head;
  while (http::parse_head(in, http::Kind::response, head).state != http::State::whole) {
    const auto came = co_await net::read_more(*socket, in);
    if (came == 0) co_return answer;
    if (!std::exchange(answer.begun, true)) answer.began = Clock::now();
  }
  const int status = head.status;
  const bool keeps = head.keep_alive;
  answer.retry_after = head.field("Retry-After").value_or("");
  int ignored = 0;
  const auto framing = http::framing(head, http::Kind::response, ignored);
  if (!framing) co_return answer;
  in.erase(0, head.size);
  http::BodyReader reader(*framing);
  auto state = reader.take(in, answer.body);
  while (state == http::BodyReader::State::more) {
    const auto error = co_await net::read_some(*socket, in);
    if (error && error != net::asio::error::eof) co_return answer;
    state = reader.take(in, answer.body, error == net::asio::error::eof);
    if (error && state == http::BodyReader::State::more) co_return answer;
  }
  if (state == http::BodyReader::State::bad) co_return answer;
  answer.status = status;
  answer.keeps = keeps && in.empty() && framing->kind != http::Framing::Kind::until_end;
  co_return answer;
}

net::awaitable<void> Client::exchange(Ask ask, std::string id) {
  const std::weak_ptr<char> alive = alive_;
  Result result;
  result.id = id;
  result.sent = Clock::now();
  const bool posts = ask.posts || !ask.safe;
  const auto body = !posts ? std::string() : ask.body.empty() ? "book it" : ask.body;
  std::string out = (posts ? "POST " : "GET ") + ask.target + " HTTP/1.1\r\nHost: " + ask.host +
                    "\r\nReq-Id: " + id + "\r\nReq-Kind: " + ask.klass + "\r\nX-Tier: " + ask.plan +
                    "\r\nCookie: client=" + ask.customer +
                    "\r\nReq-Deadline-Ms: " + std::to_string(ask.deadline.count()) +
                    "\r\nX-Call-Terms: units=" + std::to_string(std::llround(ask.units)) +
                    (ask.spread > 1 ? ",spread=" + std::to_string(ask.spread) + ",first=0" : std::string()) +
                    "\r\n" + ask.extra;
  if (posts) out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  out += "\r\n" + body;
  // A close of an idle channel may cross the request: then it goes once more, on a new one.
  for (int tries = 0; tries < 2 && result.status == 0; ++tries) {
    std::shared_ptr<net::tcp::socket> socket;
    if (tries == 0 && !idle_.empty()) {
      socket = idle_.back();
      idle_.pop_back();
    }
    const bool reused = socket != nullptr;
    boost::system::error_code error;
    if (!reused) {
      socket = std::make_shared<net::tcp::socket>(stage_.io());
      std::tie(error) = co_await socket->async_connect(to_, net::kResult);
      if (!error) socket->set_option(net::tcp::no_delay(true), error);
    }
    if (!error) result.port = socket->local_endpoint(error).port();
    net::asio::steady_timer leaving(stage_.io());
    if (ask.leaves_after.count() > 0) {
      leaving.expires_at(result.sent + ask.leaves_after);
      leaving.async_wait([socket](const boost::system::error_code& cancelled) {
        boost::system::error_code ignored;
        if (!cancelled) socket->close(ignored);
      });
    }
    const bool sent = !error && co_await write(socket, out, ask.piece);
    Answer answer;
    if (sent) answer = co_await read_answer(socket);
    if (alive.expired()) co_return;
    leaving.cancel();
    if (ask.leaves_after.count() > 0 && !socket->is_open()) {
      if (rules_) rules_->left(id, result.sent + ask.leaves_after);
      break;
    }
    if (answer.status != 0) {
      result.status = answer.status;
      result.timed = (answer.body.size() > kHeldWhole ? answer.began : Clock::now()) - result.sent;
      result.body = std::move(answer.body);
      result.retry_after = std::move(answer.retry_after);
      if (answer.keeps) idle_.push_back(socket);
    } else if (!reused || answer.begun) {
      break;
    }
  }
  result.took = Clock::now() - result.sent;
  if (rules_ && result.status != 0) rules_->answered(id, result.status, result.sent + result.timed);
  if (rules_ && result.status == 200) rules_->served(id, result.body);
  results_.push_back(result);
  --open_;
  if (ask.done) ask.done(result);
}

std::string Client::raw(const std::string& bytes) {
  net::asio::io_context io;
  net::tcp::socket socket(io);
  boost::system::error_code error;
  socket.connect(to_, error);
  net::asio::write(socket, net::asio::buffer(bytes), error);
  socket.non_blocking(true);
  std::string in;
  http::Message message;
  while (http::parse(in, http::Kind::response, message).state == http::State::partial) {
    char piece[4096];
    const auto count = socket.read_some(net::asio::buffer(piece), error);
    if (error == net::asio::error::would_block) {
      stage_.play(milliseconds(1));  // the stand-ins go on meanwhile
      continue;
    }
    if (error) break;
    in.append(piece, count);
  }
  return in;
}

double percentile_ms(const std::vector<Result>& results, double p, Clock::time_point from,
                     Clock::time_point until) {
  std::vector<double> times;
  for (const auto& result : results) {
    if (result.status != 200 || result.sent < from || result.sent >= until) continue;
    times.push_back(std::chrono::duration<double, std::milli>(result.took).count());
  }
  if (times.empty()) return 0;
  std::sort(times.begin(), times.end());
  return times[std::min(times.size() - 1, static_cast<std::size_t>(p * static_cast<double>(times.size())))];
}

}  // namespace cranemux::testing
