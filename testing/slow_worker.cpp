#include "testing/slow_worker.h"

#include "http/http.h"

namespace cranemux::testing {
namespace {

constexpr int kReceiveBuffer = 64 * 1024;  // bytes: little is taken that is not read

}  // namespace

SlowWorker::SlowWorker(Stage& stage) : stage_(stage), acceptor_(stage.io(), net::tcp::v4()) {
  acceptor_.set_option(net::asio::socket_base::receive_buffer_size(kReceiveBuffer));
  acceptor_.bind({net::asio::ip::make_address("127.0.0.1"), 0});
  acceptor_.listen();
  net::spawn(stage_.io(), logger_, "slow worker", accept());
}

net::awaitable<void> SlowWorker::accept() {
  for (;;) {
    auto [error, socket] = co_await acceptor_.async_accept(net::kResult);
    if (error) co_return;
    net::spawn(stage_.io(), logger_, "slow worker",
               serve(std::make_shared<net::tcp::socket>(std::move(socket))));
  }
}

net::awaitable<void> SlowWorker::pause(milliseconds time) {
  net::asio::steady_timer timer(stage_.io(), time);
  co_await timer.async_wait(net::kResult);
}

net::awaitable<void> SlowWorker::serve(std::shared_ptr<net::tcp::socket> socket) {
  for (;;) {
    const bool came = co_await read_request(*socket);
    if (!came) co_return;
    const PacedAnswer paced{answer, ends};
    const bool taken = co_await write_paced(*socket, paced);
    if (!taken) ++cut;
    if (!taken || paced.ends) co_return;
  }
}

// False: it has not come whole.
net::awaitable<bool> SlowWorker::read_request(net::tcp::socket& socket) {
  std::string in, body;
  http::Message head;
  while (http::parse_head(in, http::Kind::request, head).state != http::State::whole) {
    if (co_await net::read_more(socket, in) == 0) co_return false;
  }
  ++heads;
  last_head = in.substr(0, head.size);
  int ignored = 0;
  http::BodyReader reader(*http::framing(head, http::Kind::request, ignored));
  in.erase(0, head.size);
  while (reader.take(in, body) != http::BodyReader::State::done) {
    if (every.count() > 0) co_await pause(every);
    if (co_await net::read_more(socket, in, reads) == 0) co_return false;
  }
  co_return true;
}

}  // namespace cranemux::testing
