// A stand-in client of GraphQL subscriptions over server-sent events: one
// channel, and all that comes on it.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "testing/stage.h"

namespace cranemux::testing {

struct Subscription {
  std::string document, variables = "{}";  // a text, and a JSON object
  std::string customer = "0000000000000001", plan = "business";
  std::string terms = {};  // X-Call-Terms, where they are not the defaults
  bool reads = true;       // false: takes nothing, and does not go
};

class Subscriber {
 public:
  // `done`: at the end of the channel, or of an answer that opens no stream.
  static std::shared_ptr<Subscriber> open(Stage& stage, int port, const Subscription& asked,
                                          std::function<void(const Subscriber&)> done = {});
  const std::string& got() const { return got_; }  // with the head
  bool ended() const { return ended_; }
  int status() const;
  std::size_t count(const std::string& what) const;  // how often it stands there

 private:
  explicit Subscriber(Stage& stage) : socket_(stage.io()) {}
  static net::awaitable<void> talk(std::shared_ptr<Subscriber> self, int port, std::string request,
                                   bool reads, std::function<void(const Subscriber&)> done);
  bool refused() const;
  net::tcp::socket socket_;
  std::string got_;
  bool ended_ = false;
};

}  // namespace cranemux::testing
