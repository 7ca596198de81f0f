// One open subscription: events of a server, each counted with the customer's quota as it comes, to a client
// over server-sent events. It is begun once; `complete` is its one end, whatever ends it.
#pragma once

#include "attempt/attempts.h"
#include "front/channel_server.h"
#include "graphql/engine.h"
#include "graphql/event_stream.h"
#include "graphql/subscribers.h"

namespace cranemux::front {

// What a subscription was admitted with.
struct Subscriber {
  graphql::Admitted admitted;
  core::RpcTerms terms;   // of each event; units are its own
  double most_units = 1;  // that an event may cost
  graphql::SubscriptionLimits limits;
  graphql::Subscribers::Place place;
};

class Subscription : public StreamSource,
                     public core::Channel,
                     public std::enable_shared_from_this<Subscription> {
 public:
  Subscription(Subscriber subscriber, std::shared_ptr<attempt::Upstream> up, core::Core& core,
               metrics::Counters& counters);

  void begin(std::shared_ptr<HttpChannel> channel) override;
  void closed() override;
  void drain() override { end(); }
  void answer(core::RpcId rpc, core::FinalAnswer&& answer) override;  // an event's: it may go on, or not
  void end();                                                         // in order, once

 private:
  net::awaitable<void> relay(std::shared_ptr<Subscription> self);
  net::awaitable<void> watch(std::shared_ptr<Subscription> self);
  net::awaitable<bool> read();
  net::awaitable<bool> pass_on(const graphql::Event& event);
  net::awaitable<bool> count(double units);
  void fail(const std::string& code, const std::string& what);
  void send(std::string_view part);

  Subscriber subscriber_;
  std::shared_ptr<attempt::Upstream> up_;
  core::Core& core_;
  metrics::Counters& counters_;
  std::shared_ptr<HttpChannel> channel_;
  graphql::EventReader reader_;
  net::WorkSource work_;
  net::asio::steady_timer counted_, tick_;
  net::Clock::time_point sent_ = net::Clock::now();
  std::optional<core::Ending> ending_;  // of the event that is being counted
  bool over_ = false;
};

}  // namespace cranemux::front
