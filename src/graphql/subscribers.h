// How many subscriptions are open, in all and by customer: decided here, without a socket.
#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <string>

namespace cranemux::graphql {

struct SubscriptionLimits {
  std::size_t most = 0;  // in all; 0: subscriptions are not served
  std::size_t by_customer = 5;
  std::chrono::nanoseconds slow_reader = std::chrono::seconds(5);  // how long a client may take nothing
  std::chrono::nanoseconds keep_alive = std::chrono::seconds(10);  // between comments, where nothing happens
};

class Subscribers {
 public:
  // Given back when it goes.
  using Place = std::shared_ptr<void>;
  // None: a bound is reached.
  Place take(const std::string& customer, const SubscriptionLimits& limits) {
    auto& mine = open_->by_customer[customer];
    if (open_->all >= limits.most || mine >= limits.by_customer) {
      if (mine == 0) open_->by_customer.erase(customer);
      return nullptr;
    }
    ++mine;
    ++open_->all;
    return Place(open_.get(), [open = open_, customer](void*) {
      --open->all;
      const auto at = open->by_customer.find(customer);
      if (--at->second == 0) open->by_customer.erase(at);
    });
  }
  std::size_t open() const { return open_->all; }
  std::size_t open(const std::string& customer) const {
    const auto at = open_->by_customer.find(customer);
    return at == open_->by_customer.end() ? 0 : at->second;
  }

 private:
  struct Open {
    std::size_t all = 0;
    std::map<std::string, std::size_t> by_customer;
  };
  std::shared_ptr<Open> open_ = std::make_shared<Open>();
};

}  // namespace cranemux::graphql
