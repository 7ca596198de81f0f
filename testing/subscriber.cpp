#include "testing/subscriber.h"

#include "http/http.h"
#include "json/json.h"

namespace cranemux::testing {

std::shared_ptr<Subscriber> Subscriber::open(Stage& stage, int port, const Subscription& asked,
                                             std::function<void(const Subscriber&)> done) {
  std::string body = "{\"query\":";
  json::write_string(body, asked.document);
  body += ",\"variables\":" + asked.variables + "}";
  auto request =
      "POST /graphql HTTP/1.1\r\nHost: h\r\nContent-Type: "
      "application/json\r\nAccept: text/event-stream\r\n"
      "X-Tier: " +
      asked.plan + "\r\nCookie: client=" + asked.customer + "\r\n" +
      (asked.terms.empty() ? "" : "X-Call-Terms: " + asked.terms + "\r\n") +
      "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  std::shared_ptr<Subscriber> out(new Subscriber(stage));
  net::asio::co_spawn(stage.io(), talk(out, port, std::move(request), asked.reads, std::move(done)),
                      net::asio::detached);
  return out;
}

net::awaitable<void> Subscriber::talk(std::shared_ptr<Subscriber> self, int port, std::string request,
                                      bool reads, std::function<void(const Subscriber&)> done) {
  const net::tcp::endpoint at(net::asio::ip::make_address("127.0.0.1"), static_cast<unsigned short>(port));
  co_await self->socket_.async_connect(at, net::kResult);
  co_await net::asio::async_write(self->socket_, net::asio::buffer(request), net::kResult);
  if (!reads) co_return;
  while (co_await net::read_more(self->socket_, self->got_) > 0 && !self->refused()) {
  }
  boost::system::error_code ignored;
  self->socket_.close(ignored);
  self->ended_ = true;
  if (done) done(*self);
}

// A whole answer that opens no stream: its channel stays open for further requests, of which none will come.
bool Subscriber::refused() const {
  http::Message answer;
  return status() != 0 && status() != 200 &&
         http::parse(got_, http::Kind::response, answer).state == http::State::whole;
}

int Subscriber::status() const { return got_.size() < 12 ? 0 : std::atoi(got_.c_str() + 9); }

std::size_t Subscriber::count(const std::string& what) const {
  std::size_t out = 0;
  for (auto at = got_.find(what); at != std::string::npos; at = got_.find(what, at + 1)) ++out;
  return out;
}

}  // namespace cranemux::testing
