#include "resolver/resolver.h"

#include <algorithm>
#include <utility>

#include "http/http.h"

namespace cranemux::resolver {
namespace {

constexpr std::chrono::seconds kLasts{1};  // a watch that ends sooner has failed, whatever it brought
constexpr std::size_t kMostLine = 4 * 1024 * 1024;

cranemux::ServerState state_of(const std::string& text) {
  if (text == "active") return cranemux::ServerState::running;
  return text == "leaving" ? cranemux::ServerState::draining : cranemux::ServerState::removed;
}

}  // namespace

std::chrono::nanoseconds start_on_steady_clock(std::chrono::milliseconds since,
                                               std::chrono::nanoseconds to_steady) {
  if (since.count() == 0) return {};
  return std::max(std::chrono::nanoseconds(1), std::chrono::nanoseconds(since) + to_steady);
}

Resolver::Resolver(net::asio::io_context& io, const config::Address& discovery, Listener listener,
                   const CallPacing& pacing, metrics::Logger& logger, metrics::Counters& counters)
    : socket_(io),
      timer_(io),
      discovery_(discovery),
      listener_(std::move(listener)),
      pacing_(pacing),
      logger_(logger),
      counters_(counters) {
  to_steady_ = net::Clock::now().time_since_epoch() - std::chrono::system_clock::now().time_since_epoch();
}

void Resolver::start(const config::ResolverResult& known, bool watches) {
  intake_.start(known);
  listener_(known, cranemux::ListScope::stored);
  if (watches) scope_.spawn(socket_.get_executor(), logger_, "discovery", watch());
}

// Who is listed stays in use until the new address tells more. Versions there may be numbered differently, so
// the whole list is asked for.
void Resolver::set_discovery(const config::Address& discovery) {
  discovery_ = discovery;
  moved_ = true;
  boost::system::error_code ignored;
  socket_.close(ignored);
  timer_.cancel();
}

void Resolver::stop() {
  stopped_ = true;
  boost::system::error_code ignored;
  socket_.close(ignored);
  timer_.cancel();
}

cranemux::ServerList Resolver::server_list(const config::ResolverResult& result,
                                           cranemux::ListScope scope) const {
  cranemux::ServerList list;
  list.scope = scope;
  for (const auto& entry : result.entries) {
    cranemux::ServerEntry server;
    server.id = entry.name;
    server.zone = entry.zone;
    server.cell = entry.cell;
    server.state = state_of(entry.state);
    server.weight = entry.weight;
    server.started = start_on_steady_clock(entry.since, to_steady_).count();
    list.servers.push_back(std::move(server));
  }
  return list;
}

net::awaitable<void> Resolver::watch() {
  co_await wait(pacing_.initial_wait());
  while (!stopped_) {
    good_ = silent_ = false;
    if (std::exchange(moved_, false)) intake_.discovery_moved();
    const auto begun = net::Clock::now();
    ++counters_.resolver_calls;
    co_await follow();
    boost::system::error_code ignored;
    socket_.close(ignored);
    if (stopped_) co_return;
    if (moved_) {
      co_await wait(pacing_.wait_after_move());
      continue;
    }
    ++counters_.resolver_breaks;
    const bool good = good_ && net::Clock::now() - begun >= kLasts;
    co_await wait(silent_ ? pacing_.wait_after_silence(good) : pacing_.wait_after_watch(good));
  }
}

net::awaitable<void> Resolver::wait(CallPacing::Time time) {
  timer_.expires_after(time);
  co_await timer_.async_wait(net::kResult);
}

net::awaitable<void> Resolver::follow() {
  // Silence ends the watch: a connection to a machine that has vanished stays open.
  bool headed = false;
  const auto allow = [this, &headed](CallPacing::Time silence) {
    timer_.expires_after(silence);
    timer_.async_wait([this, opened = headed](const boost::system::error_code& error) {
      if (error || timer_.expiry() > net::Clock::now()) return;
      silent_ = opened;
      boost::system::error_code ignored;
      socket_.close(ignored);
    });
  };
  allow(pacing_.timeouts().response_head);
  const auto [refused] = co_await socket_.async_connect(net::endpoint<net::tcp>(discovery_), net::kResult);
  if (refused) co_return;
  const auto request = "GET /registry/instances?watch=1&after=" + std::to_string(intake_.resume_version()) +
                       " HTTP/1.1\r\nHost: " + discovery_.host + "\r\n\r\n";
  const auto [failed, written] =
      co_await net::asio::async_write(socket_, net::asio::buffer(request), net::kResult);
  if (failed) co_return;
  std::string in, text;
  ObjectReader objects(kMostLine);
  bool done = false;
  while (!done) {
    if (co_await net::read_more(socket_, in, 16 * 1024) == 0) co_return;
    if (headed) allow(pacing_.timeouts().silence);
    if (!headed) {
      http::Message head;
      const auto verdict = http::parse_head(in, http::Kind::response, head);
      if (verdict.state == http::State::partial) continue;
      const auto coding = head.field("Transfer-Encoding");
      if (verdict.state == http::State::bad || head.status != 200 || !coding ||
          !http::same_name(*coding, "chunked")) {
        ++counters_.resolver_bad;
        co_return;
      }
      in.erase(0, head.size);
      headed = true;
      allow(pacing_.timeouts().silence);
    }
    if (!http::take_chunks(in, text, done, kMostLine) || in.size() > kMostLine) {
      ++counters_.resolver_bad;
      co_return;
    }
    for (auto state = objects.consume(text); state != ObjectReader::State::incomplete;
         state = objects.consume(text)) {
      // What follows one that is not taken builds on it.
      if (state == ObjectReader::State::damaged) {
        ++counters_.resolver_bad;
        intake_.damaged();
        co_return;
      }
      if (!take(objects.object())) co_return;
    }
  }
}

bool Resolver::take(std::string_view text) {
  try {
    const auto result = config::parse_resolver_result(json::parse(text), "discovery");
    const auto verdict = intake_.evaluate(result);
    if (verdict != ResultFilter::Verdict::accepted) {
      refuse(verdict, result);
      return false;
    }
    ++counters_.resolver_results;
    good_ = true;
    listener_(result, result.snapshot ? cranemux::ListScope::full : cranemux::ListScope::changes);
    return true;
  } catch (const std::exception& error) {  // damaged: the next watch brings the whole list
    ++counters_.resolver_bad;
    intake_.damaged();
    logger_.log(metrics::Level::warning, "discovery: ", error.what());
    return false;
  }
}

void Resolver::refuse(ResultFilter::Verdict why, const config::ResolverResult& result) {
  switch (why) {
    case ResultFilter::Verdict::empty:
      ++counters_.resolver_empty;
      break;
    case ResultFilter::Verdict::older:
      ++counters_.resolver_older;
      break;
    default:
      ++counters_.resolver_crowded;
  }
  logger_.log(metrics::Level::warning, "discovery: version ", result.index, " with ", result.entries.size(),
              " nodes is not taken; the list stays as it was");
}

}  // namespace cranemux::resolver
