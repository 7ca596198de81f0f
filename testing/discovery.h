// A stand-in discovery: answers each watch with the next text of a script, then keeps it open or ends it.
#pragma once

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "metrics/logger.h"
#include "net/net.h"
#include "testing/stage.h"

namespace cranemux::testing {

// A whole list, or changes, as discovery writes them.
std::string list_line(int index, bool whole, const std::vector<std::string>& names,
                      const std::string& status = "active");

class Discovery {
 public:
  enum class Then { end, stay, stall };  // stall: not even the empty lines

  explicit Discovery(Stage& stage);
  ~Discovery();
  int port() const { return acceptor_.local_endpoint().port(); }
  // For the next call not spoken of yet; the last one said is what all later ones get.
  void answer(const std::string& lines, Then then = Then::end) { raw(head() + chunk(lines), then); }
  void raw(const std::string& bytes, Then then = Then::end) { script_.push_back({bytes, then}); }
  static std::string head() { return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"; }
  static std::string chunk(const std::string& text);

  std::vector<std::string> calls;  // the request line of each

 private:
  struct Act {
    std::string bytes;
    Then then = Then::end;
  };
  net::awaitable<void> accept();
  net::awaitable<void> serve(std::shared_ptr<net::tcp::socket> socket);

  Stage& stage_;
  net::tcp::acceptor acceptor_;
  metrics::Logger logger_;
  std::deque<Act> script_;
  std::vector<std::shared_ptr<net::tcp::socket>> open_;
  std::shared_ptr<char> alive_ = std::make_shared<char>();
};

}  // namespace cranemux::testing
