// A listener that serves several pools: finds the route, asks the pool's budgets, hands the request to the
// pool's own front, and goes on to the overflow pool where that is allowed. The bytes of an answer are the
// pool's front's.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "front/channel_server.h"
#include "pool/pool.h"
#include "routing/normalise.h"
#include "routing/route_table.h"

namespace cranemux::front {

// A pool as one listener sees it.
struct PoolFront {
  std::shared_ptr<pool::Pool> pool;
  std::unique_ptr<Front> front;
};

struct Routing {  // one listener's, replaced as a whole at a reload
  std::shared_ptr<const routing::RouteTable> table;
  std::map<std::string, std::shared_ptr<PoolFront>, std::less<>> pools;
  bool by_class = false;  // a route names classes
  // What fronts that stay take up when this routing is set: their subscriptions go on.
  std::vector<std::function<void()>> adoptions;
};

class RoutedFront : public Front {
 public:
  // `plain` words what no pool answers: faults of form, and requests that match no route.
  RoutedFront(std::unique_ptr<Front> plain, metrics::Counters& counters);
  void set(std::shared_ptr<const Routing> routing) { routing_ = std::move(routing); }
  bool has_routing() const { return routing_ != nullptr; }
  const Routing& routing() const { return *routing_; }

  Handled request(const Incoming& incoming) override;
  Reply answer(core::FinalAnswer&& answer, const std::shared_ptr<void>& context) override;
  Reply malformed(int status) override { return plain_->malformed(status); }
  Reply unavailable(std::chrono::nanoseconds come_back, const http::Message& message) override {
    return plain_->unavailable(come_back, message);
  }
  void abandoned(core::RpcId rpc, const std::shared_ptr<void>& context) override;
  std::string class_of(const http::Message& message) const override { return plain_->class_of(message); }

 private:
  struct Trip;
  class Relay;

  Handled enter(const Incoming& incoming, const std::shared_ptr<Trip>& trip, std::shared_ptr<PoolFront> into);
  Handled spill(const std::shared_ptr<Relay>& relay);
  bool may_spill(const Trip& trip, bool first_took, const core::FinalAnswer* answer) const;
  Handled missed(routing::Miss miss);
  Handled ambiguous(routing::Fault fault);

  std::unique_ptr<Front> plain_;
  metrics::Counters& counters_;
  std::shared_ptr<const Routing> routing_;
};

}  // namespace cranemux::front
