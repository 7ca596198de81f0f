// How one process of a gatekeeper replaces another.
#include "gatekeeper.h"

namespace cranemux {
namespace {

constexpr std::chrono::milliseconds kAskPatience{1500};

}  // namespace

std::string Gatekeeper::handover_path() const {
  return config_->folder + "/cranemux-" + config_->name + ".sock";
}

// Only where the platform holds the listening socket can two processes share it, and a folder.
void Gatekeeper::open_handover() {
  if (!config_ || !config_->socket_fd || config_->folder.empty() || !listeners_.front().platform) {
    return peers_.open({});
  }
  take_over();
  giver_ = std::make_unique<handover::Giver>(
      io_, handover_path(),
      handover::Place{[this] { return hand_over(); }, [this] { take_back(); },
                      [this] { return peers_.socket(); },
                      [this](const handover::Taken& t) { platform().taken_elsewhere(t.id); }},
      logger_, counters_);
  giver_->listen();
}

void Gatekeeper::take_over() {
  auto found = handover::ask(handover_path(), kAskPatience, logger_);
  peers_.open(found && found->peer_socket >= 0 ? std::optional(found->peer_socket) : std::nullopt);
  if (!found) return;
  auto& pool = the_pool();
  heir_ = std::make_unique<handover::Heir>(
      io_, found->connection, std::move(found->more),
      handover::Ears{[&pool](const handover::Spent& s) {
                       pool.core().spent_elsewhere({s.customer, s.units, s.settled});
                     },
                     [this](const handover::Taken& t) { platform().taken_elsewhere(t.id); },
                     [this] { alone_again(); }},
      logger_, counters_);
  heir_->start();
  platform().on_taken = [this](const std::string& id) { heir_->tell(handover::Taken{id}); };
  if (found->state) take_up(*found->state);
}

void Gatekeeper::take_up(const handover::State& state) {
  auto& listener = listeners_.front();
  auto& pool = the_pool();
  if (!state.list.entries.empty()) pool.inherit(state.list);
  if (!pool.core().take_over(state.module)) {
    logger_.log(metrics::Level::warning, "hand-over: what the old process knew could not be used");
  }
  for (const auto& id : state.open_ids) platform().taken_elsewhere(id);
  listener.channels->lend(state.channels);
  pool.lend_connections(state.connections);
  if (state.drained) lifecycle_.drain(true, net::Clock::now());
  ++counters_.takeovers;
  logger_.log(metrics::Level::info, "took over from the process before, which still has ",
              state.open_ids.size(), " requests");
}

void Gatekeeper::alone_again() {
  if (!lifecycle_.handed_over()) platform().on_taken = {};
  platform().other_process_ended();
  listeners_.front().channels->lend(0);
  the_pool().lend_connections(0);
  logger_.log(metrics::Level::info, "the process before has ended");
}

// In one turn: nothing is decided here that the new process does not hear of.
handover::State Gatekeeper::hand_over() {
  lifecycle_.hand_over(net::Clock::now());
  auto& listener = listeners_.front();
  auto& pool = the_pool();
  listener.channels->pause(true);
  handover::State state;
  state.module = pool.core().hand_over([this](const cranemux::SpentElsewhere& e) {
    giver_->tell(handover::Spent{e.customer, e.units, e.settled});
  });
  peers_.set_muted(true);
  state.list = pool.list();
  state.open_ids = platform().known_ids();
  platform().on_taken = [this](const std::string& id) { giver_->tell(handover::Taken{id}); };
  state.drained = lifecycle_.drained();
  state.channels = listener.channels->size();
  state.connections = pool.connections().used();
  return state;
}

void Gatekeeper::take_back() {
  if (!lifecycle_.take_back(net::Clock::now())) return;
  logger_.log(metrics::Level::warning, "the new process has ended: this one serves on");
  platform().on_taken = {};
  platform().other_process_ended();
  the_pool().core().take_back();
  peers_.set_muted(false);
  listeners_.front().channels->pause(false);
  giver_->listen();
}

}  // namespace cranemux
