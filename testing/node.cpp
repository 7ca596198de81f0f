#include "testing/node.h"

#include <sys/socket.h>
#include <unistd.h>

namespace cranemux::testing {

struct Node::Talk {
  explicit Talk(net::tcp::socket s) : socket(std::move(s)) {}
  net::tcp::socket socket;
  std::string in;
  std::string at;  // the id of the request at work, as long as the rules hold it to be out
  bool ended() {
    char byte = 0;
    const auto got = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }
};

namespace {

// All that comes, up to the connection's end.
net::awaitable<void> discard(net::tcp::socket& socket) {
  std::string piece;
  while (co_await net::read_more(socket, piece) > 0) piece.clear();
}

}  // namespace

Node::Node(Stage& stage, std::string name, Rules* rules)
    : stage_(stage),
      name_(std::move(name)),
      rules_(rules),
      acceptor_(stage.io(), {net::asio::ip::make_address("127.0.0.1"), 0}),
      logger_(STDERR_FILENO, metrics::Level::error) {
  net::spawn(stage_.io(), logger_, "stand-in node", accept());
  if (!rules_) return;
  rules_->watch([this, alive = std::weak_ptr<char>(alive_)](const std::string& id) {
    if (!alive.expired()) look(id);
  });
}

Node::~Node() {
  close();
  stage_.play(milliseconds(5));  // its coroutines end
}

int Node::port() const { return acceptor_.local_endpoint().port(); }

void Node::close() {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  for (auto& [key, weak] : talks_) {
    if (const auto talk = weak.lock()) talk->socket.close(ignored);
  }
}

void Node::look(const std::string& id) {
  for (auto& [key, weak] : talks_) {
    const auto talk = weak.lock();
    if (talk && talk->at == id && talk->ended()) over(*talk);
  }
}

void Node::over(Talk& talk) {
  if (rules_ && !talk.at.empty()) rules_->over(talk.at, Clock::now());
  talk.at.clear();
}

net::awaitable<void> Node::accept() {
  const std::weak_ptr<char> alive = alive_;
  for (;;) {
    auto [error, socket] = co_await acceptor_.async_accept(net::kResult);
    if (error || alive.expired()) co_return;
    boost::system::error_code ignored;
    socket.set_option(net::tcp::no_delay(true), ignored);
    ++connections_;
    auto talk = std::make_shared<Talk>(std::move(socket));
    talks_[talk.get()] = talk;
    net::spawn(stage_.io(), logger_, "stand-in node", serve(std::move(talk)));
  }
}

net::awaitable<void> Node::serve(std::shared_ptr<Talk> talk) {
  const std::weak_ptr<char> alive = alive_;
  bool open = true;
  while (open) {
    http::Message message;
    std::string known;  // the id, once the head is there: the attempt has begun
    http::Verdict verdict;
    for (;;) {
      verdict = http::parse(talk->in, http::Kind::request, message);
      if (verdict.state != http::State::partial) break;
      if (co_await net::read_more(talk->socket, talk->in) == 0) break;
    }
    if (alive.expired()) co_return;
    if (verdict.state == http::State::bad && verdict.status == 413) {  // longer than it holds: never answered
      co_await discard(talk->socket);
      if (alive.expired()) co_return;
    }
    if (verdict.state != http::State::whole) break;
    known = id ? id(message) : std::string(message.field("Req-Id").value_or(""));
    ++taken_;
    last_target_ = message.target;
    if (rules_ && !known.empty()) rules_->begun(known, name_, Clock::now());
    talk->at = known;
    const auto size = message.size;
    open = co_await answer(*talk, message, known);
    if (alive.expired()) co_return;
    over(*talk);
    talk->in.erase(0, size);
  }
  boost::system::error_code ignored;
  talk->socket.close(ignored);
  talks_.erase(talk.get());
}

net::awaitable<void> Node::stream(Talk& talk, Events events) {
  const std::weak_ptr<char> alive = alive_;
  std::string out = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
  std::size_t sent = 0;
  for (net::asio::steady_timer pause(stage_.io()); !alive.expired() && talk.socket.is_open();) {
    const auto [error, count] =
        co_await net::asio::async_write(talk.socket, net::asio::buffer(out), net::kResult);
    if (error || alive.expired() || talk.ended()) co_return;
    if ((events.most > 0 && sent++ == events.most) || Clock::now() >= events.until) co_return;
    out = events.text;
    pause.expires_after(events.every);
    co_await pause.async_wait(net::kResult);
  }
}

// False: the connection is of no further use.
net::awaitable<bool> Node::answer(Talk& talk, const http::Message& message, const std::string& known) {
  using Answer = Behaviour::Answer;
  const std::weak_ptr<char> alive = alive_;
  const auto act = script ? script(message) : behaviour;
  if (act.answer != Answer::declined) {
    ++runs_[known];
    if (rules_ && !known.empty()) rules_->ran(known);
  }
  if (const auto told = events ? events(message) : std::nullopt) {
    co_await stream(talk, *told);
    co_return false;
  }
  auto text = body ? body(message) : name_ + " " + known;
  const auto until = Clock::now() + (act.answer == Answer::stall ? milliseconds(3'600'000) : act.delay);
  // A caller that gives up closes: then it is over at once.
  for (net::asio::steady_timer pause(stage_.io()); Clock::now() < until;) {
    pause.expires_at(std::min(until, Clock::now() + milliseconds(5)));
    co_await pause.async_wait(net::kResult);
    if (alive.expired() || !talk.socket.is_open()) co_return false;
    if (talk.ended()) co_return false;
  }
  if (act.answer == Answer::reset) {
    talk.socket.set_option(net::asio::socket_base::linger(true, 0));
    co_return false;
  }
  if (const auto slow = paced && act.answer == Answer::good ? paced(message) : std::nullopt) {
    const bool taken = co_await write_paced(talk.socket, *slow);
    if (alive.expired()) co_return false;
    if (!taken && rules_) rules_->cut(known);
    co_return taken && !slow->ends;
  }
  if (const auto bytes = raw ? raw(message) : std::nullopt) {
    const auto [error, count] =
        co_await net::asio::async_write(talk.socket, net::asio::buffer(*bytes), net::kResult);
    co_return !error && !raw_ends;
  }
  std::string out = "HTTP/1.1 200 OK\r\n";
  if (act.answer == Answer::error) out = "HTTP/1.1 500 Internal Server Error\r\n";
  if (act.answer == Answer::declined) out = "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\n";
  if (act.answer == Answer::spoilt) out = "HTTP/9 what \x01 is this\r\n";
  if (act.answer != Answer::good) text.clear();
  out += "Content-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
  auto [error, count] = co_await net::asio::async_write(talk.socket, net::asio::buffer(out), net::kResult);
  if (error || alive.expired()) co_return false;
  const bool sound = act.answer == Answer::good || act.answer == Answer::declined;
  if (!sound || act.late_copy.count() == 0) co_return true;
  over(talk);  // the first copy ends it
  net::asio::steady_timer pause(stage_.io(), act.late_copy);
  co_await pause.async_wait(net::kResult);
  if (alive.expired()) co_return false;
  std::tie(error, count) = co_await net::asio::async_write(talk.socket, net::asio::buffer(out), net::kResult);
  co_return !error;
}

}  // namespace cranemux::testing
