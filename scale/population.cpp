#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

#include "scale/scenario.h"

namespace cranemux::scale {
namespace {

constexpr Nanos kMs = 1'000'000;
constexpr int kPlans = 15;           // rates from 1 to 16,384 units a second, each twice the one before
constexpr double kBookings = 0.22;   // of the requests, of 2 to 4 units; the others are of one
constexpr double kMeanUnits = 1.44;  // so
constexpr double kShiftEvery = 10;   // seconds
constexpr double kSpikeEvery = 16, kSpikeLasts = 3, kSpike = 4.5;
constexpr double kLeastShare = 0.2;  // of a gatekeeper's part of a customer, against an even one
constexpr double kLookEvery = 0.25;  // seconds

// SplitMix64 (S. Vigna): the same draws everywhere.
std::uint64_t mixed(std::uint64_t z) {
  z += 0x9e3779b97f4a7c15ULL;
  z = (z ^ z >> 30U) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ z >> 27U) * 0x94d049bb133111ebULL;
  return z ^ z >> 31U;
}
double part_of_one(std::uint64_t draw) { return static_cast<double>(draw >> 11U) / 9007199254740992.0; }
double between(double least, double most, std::uint64_t draw) {
  return least + (most - least) * part_of_one(draw);
}

// Units asked for over units allowed, in the mean.
double use_of(Behaviour behaviour, std::uint64_t draw) {
  switch (behaviour) {
    case Behaviour::full:
      return between(0.85, 1, draw);
    case Behaviour::heavy:
      return between(1.9, 5, draw);
    default:
      return between(0.2, 0.5, draw);
  }
}

}  // namespace

Settings Scenario::settings() const {
  Settings s;
  s.gateways = members();
  s.dedicated_leaders = control_machines;
  s.zone = "z0";
  s.classes = {{"look", 400 * kMs, 1500 * kMs, 0, 3, Repeat::safe, RepeatScope::all, 0, false},
               {"book", 750 * kMs, 2000 * kMs, 0, 5, Repeat::unsafe, RepeatScope::all, 0, false}};
  for (int k = 0; k < kPlans; ++k) {
    PlanSettings plan;
    plan.name = "p" + std::to_string(k);
    plan.rate = std::ldexp(1, k);
    plan.burst = std::max(4.0, plan.rate * (k < 3 ? 4 : 2));
    plan.over_cost = 0.5;
    s.plans.push_back(plan);
  }
  s.most_units = 4;
  s.peers = true;
  s.peer_messages_per_s = mail_in_per_s;
  s.cancel = true;
  s.max_attempts = 4;
  s.drain_grace = 1000 * kMs;
  s.connection_idle = 30'000 * kMs;
  s.cold_from = 0.3;
  s.warm_up = 10'000 * kMs;
  s.fall_multiple = 2;
  s.fall_window = 1000 * kMs;
  return s;
}

std::vector<Customer> customers_of(const Scenario& scenario) {
  std::vector<Customer> out(static_cast<std::size_t>(scenario.customers));
  double weights = 0;
  for (std::size_t i = 0; i < out.size(); ++i)
    weights += std::pow(static_cast<double>(i + 1), -scenario.zipf);
  for (std::size_t i = 0; i < out.size(); ++i) {
    auto& customer = out[i];
    auto draw = mixed(scenario.seed << 32U ^ i);
    const auto next = [&] { return draw = mixed(draw); };
    std::array<char, 24> id{};
    std::snprintf(id.data(), id.size(), "%016llx", static_cast<unsigned long long>(next() & 0x1ffffffffULL));
    customer.id = id.data();
    customer.phase = next();
    customer.requests_per_s =
        scenario.requests_per_s * std::pow(static_cast<double>(i + 1), -scenario.zipf) / weights;
    const double kind = part_of_one(next());
    if (kind < scenario.full) {
      customer.behaviour = Behaviour::full;
    } else if (kind < scenario.full + scenario.heavy) {
      customer.behaviour = Behaviour::heavy;
    } else if (kind < scenario.full + scenario.heavy + scenario.spiky) {
      customer.behaviour = Behaviour::spiky;
    }
    const double quota = customer.requests_per_s * kMeanUnits / use_of(customer.behaviour, next());
    customer.plan = std::clamp(static_cast<int>(std::lround(std::log2(quota))), 0, kPlans - 1);
    customer.first = static_cast<int>(next() % static_cast<std::uint64_t>(scenario.gatekeepers));
    const double spread = between(scenario.least_spread, scenario.most_spread, next());
    customer.spread =
        std::clamp(static_cast<int>(std::lround(spread * scenario.gatekeepers)), 1, scenario.gatekeepers);
  }
  return out;
}

double share_of(const Customer& customer, int gatekeeper, const Scenario& scenario, double now_s) {
  const int place = (gatekeeper - customer.first + scenario.gatekeepers) % scenario.gatekeepers;
  if (place >= customer.spread) return 0;
  const auto shift = static_cast<std::uint64_t>(now_s / kShiftEvery + part_of_one(customer.phase));
  const double draw = part_of_one(mixed(customer.phase ^ shift << 40U ^ static_cast<std::uint64_t>(place)));
  return (kLeastShare + 3 * (1 - kLeastShare) * draw * draw) / customer.spread;  // 1 / spread in the mean
}

double surge_of(const Customer& customer, double now_s) {
  if (customer.behaviour != Behaviour::spiky) return 1;
  const double at = std::fmod(now_s + kSpikeEvery * part_of_one(mixed(customer.phase)), kSpikeEvery);
  return at < kSpikeLasts ? kSpike : 1;
}

Arrivals::Arrivals(const Scenario& scenario, const std::vector<Customer>& customers, int gatekeeper)
    : scenario_(scenario),
      customers_(customers),
      gatekeeper_(gatekeeper),
      state_(mixed(scenario.seed * 7919 + static_cast<std::uint64_t>(gatekeeper))) {
  for (std::size_t i = 0; i < customers.size(); ++i) {
    if (share_of(customers[i], gatekeeper, scenario, 0) > 0) own_.push_back(static_cast<int>(i));
  }
}

double Arrivals::drawn() { return part_of_one(state_ = mixed(state_)); }

void Arrivals::look() {
  if (until_s_ >= shares_until_s_) {
    shares_until_s_ += 1;
    shares_.resize(own_.size());
    for (std::size_t i = 0; i < own_.size(); ++i)
      shares_[i] = share_of(customers_[static_cast<std::size_t>(own_[i])], gatekeeper_, scenario_, until_s_);
  }
  sums_.resize(own_.size());
  double sum = 0;
  for (std::size_t i = 0; i < own_.size(); ++i) {
    const auto& customer = customers_[static_cast<std::size_t>(own_[i])];
    sum += customer.requests_per_s * shares_[i] * surge_of(customer, until_s_);
    sums_[i] = sum;
  }
  until_s_ += kLookEvery;
}

Arrival Arrivals::next() {
  for (;;) {
    const double rate = now_s_ < until_s_ && !sums_.empty() ? sums_.back() : 0;
    const double gap = rate > 0 ? -std::log(1 - drawn()) / rate : kLookEvery;
    if (now_s_ + gap >= until_s_) {
      now_s_ = until_s_;
      look();
      continue;
    }
    now_s_ += gap;
    Arrival out;
    out.at_s = now_s_;
    const auto at = std::upper_bound(sums_.begin(), sums_.end(), drawn() * sums_.back());
    out.customer = own_[static_cast<std::size_t>(std::min(at, sums_.end() - 1) - sums_.begin())];
    out.booking = drawn() < kBookings;
    out.units = out.booking ? 2 + static_cast<int>(drawn() * 3) : 1;
    out.service = static_cast<int>(drawn() * scenario_.services);
    return out;
  }
}

}  // namespace cranemux::scale
