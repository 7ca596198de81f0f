#include "front/routed.h"

#include "front/fields.h"
#include "pool/overflow.h"

namespace cranemux::front {
namespace {

using std::chrono::nanoseconds;

constexpr std::chrono::seconds kDrainedComeBack{1};

std::vector<std::string_view> hosts_of(const http::Message& message) {
  std::vector<std::string_view> hosts;
  for (const auto& [name, value] : message.fields) {
    if (http::same_name(name, "Host")) hosts.push_back(value);
  }
  return hosts;
}

// The request's bytes, for a second reading once its channel's buffer holds others.
std::string copy_of(const http::Message& message) {
  std::string raw;
  raw.append(message.method)
      .append(" ")
      .append(message.target)
      .append(" ")
      .append(message.version)
      .append("\r\n");
  for (const auto& [name, value] : message.fields) {
    if (http::same_name(name, "Transfer-Encoding") || http::same_name(name, "Content-Length")) continue;
    raw.append(name).append(": ").append(value).append("\r\n");
  }
  raw += "Content-Length: " + std::to_string(message.body.size()) + "\r\n\r\n";
  return raw.append(message.body);
}

}  // namespace

// An RPC on its way through one pool, or two.
struct RoutedFront::Trip {
  std::shared_ptr<const Routing> routing;  // as it was admitted under
  const routing::Route* route = nullptr;
  std::string target;  // as it is sent on
  bool safe = false;
  std::string raw;  // only where it may overflow
  net::Clock::time_point came = net::Clock::now();
  std::shared_ptr<PoolFront> at;
  core::RpcId rpc = 0;
  std::shared_ptr<void> inner;  // the context of the front in `at`
  pool::Lease channel;
  net::Clock::time_point entered;
  bool spilled = false, inside = false;

  // The channel waits on this pool no more.
  void leave() {
    if (!std::exchange(inside, false)) return;
    channel.end();
    at->pool->admission().answered(net::Clock::now() - entered);
  }
};

// Stands between the first pool and the channel where the overflow pool may yet be asked.
class RoutedFront::Relay : public core::Channel, public std::enable_shared_from_this<Relay> {
 public:
  Relay(RoutedFront& front, std::shared_ptr<Trip> trip, std::shared_ptr<core::Channel> channel)
      : front_(front), trip_(std::move(trip)), channel_(std::move(channel)) {}

  void answer(core::RpcId rpc, core::FinalAnswer&& answer) override {
    if (front_.may_spill(*trip_, true, &answer)) {
      // Either it is an RPC of the second pool from here on, or the first one's word is final.
      trip_->leave();
      if (!front_.spill(shared_from_this()).reply) return;
    }
    channel_->answer(rpc, std::move(answer));
  }

  bool left() override {
    const auto self = shared_from_this();
    return channel_->left();
  }

  const std::shared_ptr<Trip>& trip() const { return trip_; }

 private:
  RoutedFront& front_;
  std::shared_ptr<Trip> trip_;
  std::shared_ptr<core::Channel> channel_;
};

RoutedFront::RoutedFront(std::unique_ptr<Front> plain, metrics::Counters& counters)
    : plain_(std::move(plain)), counters_(counters) {}

Handled RoutedFront::missed(routing::Miss miss) {
  switch (miss) {
    case routing::Miss::host:
      ++counters_.routes_missed_host;
      break;
    case routing::Miss::path:
      ++counters_.routes_missed_path;
      break;
    case routing::Miss::method:
      ++counters_.routes_missed_method;
      break;
    default:
      ++counters_.routes_missed_class;
  }
  return {plain_->malformed(404)};
}

Handled RoutedFront::ambiguous(routing::Fault fault) {
  if (fault == routing::Fault::no_host || fault == routing::Fault::two_hosts ||
      fault == routing::Fault::bad_host) {
    ++counters_.requests_bad_host;
  } else {
    ++counters_.requests_bad_target;
  }
  return {plain_->malformed(400)};
}

Handled RoutedFront::request(const Incoming& incoming) {
  const auto& message = incoming.message;
  auto where = routing::normalise(message.target, hosts_of(message));
  if (where.fault != routing::Fault::none) return ambiguous(where.fault);
  auto trip = std::make_shared<Trip>();
  trip->routing = routing_;
  const auto klass = routing_->by_class ? plain_->class_of(message) : std::string();
  const auto found = routing_->table->find({where.host, where.path, message.method, klass});
  if (!found.route) return missed(found.miss);
  trip->route = found.route;
  trip->target = std::move(where.path) + where.query;
  const auto share = routing::choose_share(customer_of(message), found.route->shares);
  const auto& first = routing_->pools.find(found.route->shares[share].pool)->second;
  if (found.route->overflow.empty()) return enter(incoming, trip, first);
  trip->safe = first->pool->core().is(klass, cranemux::Repeat::safe);
  trip->at = first;
  if (may_spill(*trip, false, nullptr)) {
    ++counters_.rpcs_overflowed;
    return enter(incoming, trip, routing_->pools.find(found.route->overflow)->second);
  }
  if (!trip->safe) return enter(incoming, trip, first);
  trip->raw = copy_of(message);
  const Incoming relayed{message, std::make_shared<Relay>(*this, trip, incoming.channel)};
  return enter(relayed, trip, first);
}

bool RoutedFront::may_spill(const Trip& trip, bool first_took, const core::FinalAnswer* answer) const {
  if (trip.spilled || trip.route->overflow.empty()) return false;
  const auto second = trip.routing->pools.find(trip.route->overflow);
  pool::Spill spill;
  spill.safe = trip.safe;
  spill.first_usable = trip.at->pool->usable();
  spill.second_usable = second != trip.routing->pools.end() && second->second->pool->usable();
  spill.first_took = first_took;
  spill.left = answer ? answer->left : std::chrono::hours(1);
  if (answer) {
    spill.unavailable = answer->ending == core::Ending::unavailable;
    spill.attempt_out = answer->out;
  }
  return pool::may_overflow(spill);
}

// Takes the request into a pool, or says why not. Of an RPC that goes on from another pool nothing is left
// there.
Handled RoutedFront::enter(const Incoming& incoming, const std::shared_ptr<Trip>& trip,
                           std::shared_ptr<PoolFront> into) {
  auto& pool = *into->pool;
  if (pool.drained()) {
    ++counters_.rpcs_drained_pool;
    return {into->front->unavailable(kDrainedComeBack, incoming.message)};
  }
  pool::Place place;
  if (const auto denial = pool.admission().admit(incoming.message.body.size(), place)) {
    ++counters_.rpcs_over_budget;
    return {into->front->unavailable(denial->come_back, incoming.message)};
  }
  auto held =
      std::make_shared<std::pair<pool::Lease, pool::Lease>>(std::move(place.rpc), std::move(place.bytes));
  auto handled = into->front->request(
      {incoming.message, incoming.channel, trip->target, incoming.waited, std::move(held)});
  if (handled.reply) return handled;
  trip->at = std::move(into);
  trip->inside = true;
  trip->entered = net::Clock::now();
  trip->rpc = handled.rpc;
  trip->inner = std::move(handled.context);
  trip->channel = std::move(place.channel);
  handled.context = trip;
  return handled;
}

Handled RoutedFront::spill(const std::shared_ptr<Relay>& relay) {
  const auto& trip = relay->trip();
  trip->spilled = true;
  http::Message message;
  http::parse(trip->raw, http::Kind::request, message);
  const Incoming again{message, relay, {}, net::Clock::now() - trip->came};
  auto handled = enter(again, trip, trip->routing->pools.find(trip->route->overflow)->second);
  if (!handled.reply) ++counters_.rpcs_overflowed;
  return handled;
}

Reply RoutedFront::answer(core::FinalAnswer&& answer, const std::shared_ptr<void>& context) {
  auto& trip = *static_cast<Trip*>(context.get());
  trip.leave();
  return trip.at->front->answer(std::move(answer), trip.inner);
}

void RoutedFront::abandoned(core::RpcId, const std::shared_ptr<void>& context) {
  auto& trip = *static_cast<Trip*>(context.get());
  trip.channel.end();
  trip.at->front->abandoned(trip.rpc, trip.inner);
}

}  // namespace cranemux::front
