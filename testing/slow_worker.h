// A stand-in worker that reads requests and writes answers at a pace, in any framing.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "metrics/logger.h"
#include "testing/paced_answer.h"
#include "testing/stage.h"

namespace cranemux::testing {

class SlowWorker {
 public:
  explicit SlowWorker(Stage& stage);
  std::string address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }

  std::vector<PacedAnswer::Piece> answer;
  bool ends = false;                             // the connection, after the answer
  std::size_t reads = std::size_t{1024} * 1024;  // bytes of a body at most ...
  milliseconds every{0};                         // ... in such a time
  std::size_t heads = 0;                         // of requests, that have come
  std::size_t cut = 0;                           // answers that the other side ended
  std::string last_head;

 private:
  net::awaitable<void> accept();
  net::awaitable<void> pause(milliseconds time);
  net::awaitable<void> serve(std::shared_ptr<net::tcp::socket> socket);
  net::awaitable<bool> read_request(net::tcp::socket& socket);

  Stage& stage_;
  net::tcp::acceptor acceptor_;
  metrics::Logger logger_{2, metrics::Level::error};
};

}  // namespace cranemux::testing
