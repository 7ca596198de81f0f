#include "resolver/resolver.h"

#include <algorithm>
#include <utility>

#include "http/http.h"

namespace cranemux::resolver {
namespace {

// A watch that ends sooner has failed, whatever it delivered.
constexpr std::chrono::seconds kMinWatchTime{1};
constexpr std::size_t kMaxResultBytes = 4 * 1024 * 1024;
constexpr std::size_t kReadBytes = 16 * 1024;

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
  filter_.start(known);
  listener_(known, cranemux::ListScope::stored);
  if (watches) scope_.spawn(socket_.get_executor(), logger_, "discovery", watch_repeatedly());
}

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

net::awaitable<void> Resolver::watch_repeatedly() {
  co_await wait(pacing_.initial_wait());
  while (!stopped_) {
    delivered_ = silent_ = false;
    if (std::exchange(moved_, false)) filter_.discovery_moved();
    const auto opened_at = net::Clock::now();
    ++counters_.resolver_calls;
    co_await watch_once();
    boost::system::error_code ignored;
    socket_.close(ignored);
    if (stopped_) co_return;
    if (moved_) {
      co_await wait(pacing_.wait_after_move());
      continue;
    }
    ++counters_.resolver_breaks;
    const bool good = delivered_ && net::Clock::now() - opened_at >= kMinWatchTime;
    co_await wait(silent_ ? pacing_.wait_after_silence(good) : pacing_.wait_after_watch(good));
  }
}

net::awaitable<void> Resolver::wait(CallPacing::Time time) {
  timer_.expires_after(time);
  co_await timer_.async_wait(net::kResult);
}

net::awaitable<void> Resolver::watch_once() {
  // A timeout closes the watch when nothing arrives: the connection to a machine that has vanished stays
  // open.
  bool head_received = false;
  const auto set_timeout = [this, &head_received](CallPacing::Time timeout) {
    timer_.expires_after(timeout);
    timer_.async_wait([this, was_open = head_received](const boost::system::error_code& error) {
      if (error || timer_.expiry() > net::Clock::now()) return;
      silent_ = was_open;
      boost::system::error_code ignored;
      socket_.close(ignored);
    });
  };
  set_timeout(pacing_.timeouts().response_head);
  const auto [connect_error] =
      co_await socket_.async_connect(net::endpoint<net::tcp>(discovery_), net::kResult);
  if (connect_error) co_return;
  const auto request = "GET /registry/instances?watch=1&after=" + std::to_string(filter_.resume_version()) +
                       " HTTP/1.1\r\nHost: " + discovery_.host + "\r\n\r\n";
  const auto [write_error, written] =
      co_await net::asio::async_write(socket_, net::asio::buffer(request), net::kResult);
  if (write_error) co_return;
  std::string in, body;
  ObjectReader objects(kMaxResultBytes);
  bool done = false;
  while (!done) {
    if (co_await net::read_more(socket_, in, kReadBytes) == 0) co_return;
    if (head_received) set_timeout(pacing_.timeouts().silence);
    if (!head_received) {
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
      head_received = true;
      set_timeout(pacing_.timeouts().silence);
    }
    if (!http::take_chunks(in, body, done, kMaxResultBytes) || in.size() > kMaxResultBytes) {
      ++counters_.resolver_bad;
      co_return;
    }
    for (auto state = objects.consume(body); state != ObjectReader::State::incomplete;
         state = objects.consume(body)) {
      // Results that follow one that was refused build on it.
      if (state == ObjectReader::State::damaged) {
        ++counters_.resolver_bad;
        filter_.damaged();
        co_return;
      }
      co_await net::TurnScheduler::of(socket_.get_executor()).turn(work_);
      if (stopped_ || moved_ || !take_result(objects.object())) co_return;
    }
  }
}

bool Resolver::take_result(std::string_view text) {
  try {
    const auto result = config::parse_resolver_result(json::parse(text), "discovery");
    const auto verdict = filter_.evaluate(result);
    if (verdict != ResultFilter::Verdict::accepted) {
      log_refused(verdict, result);
      return false;
    }
    ++counters_.resolver_results;
    delivered_ = true;
    listener_(result, result.snapshot ? cranemux::ListScope::full : cranemux::ListScope::changes);
    return true;
  } catch (const std::exception& error) {  // damaged: the next watch requests the full list
    ++counters_.resolver_bad;
    filter_.damaged();
    logger_.log(metrics::Level::warning, "discovery: invalid result: ", error.what());
    return false;
  }
}

void Resolver::log_refused(ResultFilter::Verdict verdict, const config::ResolverResult& result) {
  switch (verdict) {
    case ResultFilter::Verdict::empty:
      ++counters_.resolver_empty;
      break;
    case ResultFilter::Verdict::older:
      ++counters_.resolver_older;
      break;
    default:
      ++counters_.resolver_crowded;
  }
  logger_.log(metrics::Level::warning, "discovery: refused version ", result.index, " with ",
              result.entries.size(), " nodes; the present list stays in use");
}

}  // namespace cranemux::resolver
