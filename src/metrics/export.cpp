#include "metrics/export.h"

#include <algorithm>
#include <memory>

namespace cranemux::metrics {
namespace {

constexpr std::chrono::milliseconds kLongestSend{2000};

// A name that may stand in a path of either receiver.
std::string plain(std::string name, bool dots) {
  for (auto& c : name) {
    const bool good = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
                      c == '-' || c == '_' || (dots && c == '.');
    if (!good) c = '_';
  }
  return name.empty() ? "gatekeeper" : name;
}

}  // namespace

std::string graphite_lines(const Counters& counters, const Figures& figures, const std::string& name,
                           std::chrono::seconds unix_time) {
  std::string out;
  // Labels become the tags of Graphite: cranemux.NAME.router_pending;lane=C
  figures.each([&](const char* figure, const std::string& labels, std::uint64_t value) {
    out += "cranemux." + plain(name, false) + '.' + figure;
    for (const auto c : labels.empty() ? labels : ';' + labels) {
      if (c != '"') out += c == ',' ? ';' : c;
    }
    out += ' ' + std::to_string(value) + ' ' + std::to_string(unix_time.count()) + '\n';
  });
  const auto add = [&](const char* counter, std::uint64_t value) {
    out += "cranemux." + plain(name, false) + '.' + counter + ' ' + std::to_string(value) + ' ' +
           std::to_string(unix_time.count()) + '\n';
  };
  counters.each_gauge(add);
  counters.each(add);
  return out;
}

std::string collectd_lines(const Counters& counters, const Figures& figures, const std::string& name,
                           std::chrono::seconds interval) {
  std::string out;
  // The instance of a type holds the values of the labels: derive-router_upstream_requests-C
  figures.each([&](const char* figure, const std::string& labels, std::uint64_t value) {
    std::string instance;
    for (std::size_t at = labels.find('"'); at != std::string::npos; at = labels.find('"', at)) {
      const auto end = labels.find('"', at + 1);
      instance += '-' + plain(labels.substr(at + 1, end - at - 1), true);
      at = end + 1;
    }
    out += "PUTVAL \"" + plain(name, true) + "/cranemux/" + (labels.empty() ? "gauge-" : "derive-") + figure +
           instance + "\" interval=" + std::to_string(interval.count()) + " N:" + std::to_string(value) +
           '\n';
  });
  const auto add = [&](const std::string& type, const char* counter, std::uint64_t value) {
    out += "PUTVAL \"" + plain(name, true) + "/cranemux/" + type + counter +
           "\" interval=" + std::to_string(interval.count()) + " N:" + std::to_string(value) + '\n';
  };
  counters.each_gauge([&](const char* gauge, std::uint64_t value) { add("gauge-", gauge, value); });
  counters.each([&](const char* counter, std::uint64_t value) { add("derive-", counter, value); });
  return out;
}

Exporter::Exporter(net::asio::io_context& io, Endpoint to, std::chrono::milliseconds every, bool answered,
                   Text text, Logger& logger, Counters& counters)
    : io_(io),
      timer_(io),
      limit_(io),
      to_(std::move(to)),
      every_(std::max(every, std::chrono::milliseconds(10))),
      answered_(answered),
      text_(std::move(text)),
      logger_(logger),
      counters_(counters) {}

void Exporter::start() { net::spawn(io_, logger_, "export", run()); }

net::awaitable<void> Exporter::run() {
  for (;;) {
    timer_.expires_after(every_);
    const auto [stopped] = co_await timer_.async_wait(net::kResult);
    if (stopped) co_return;
    const bool sent = co_await send(text_());
    ++(sent ? counters_.exports_sent : counters_.exports_dropped);
    if (!sent) logger_.log(Level::debug, "an export was dropped: the receiver did not take it");
  }
}

net::awaitable<bool> Exporter::send(std::string text) {
  const auto held = std::make_shared<net::asio::generic::stream_protocol::socket>(io_);
  auto& socket = *held;
  limit_.expires_after(kLongestSend);
  limit_.async_wait([weak = std::weak_ptr(held)](const boost::system::error_code& error) {
    boost::system::error_code ignored;
    if (const auto open = weak.lock(); open && !error) open->close(ignored);
  });
  const auto [refused] = co_await socket.async_connect(to_, net::kResult);
  bool good = !refused;
  if (good) {
    const auto [error, count] =
        co_await net::asio::async_write(socket, net::asio::buffer(text), net::kResult);
    good = !error;
  }
  auto answers = answered_ ? std::count(text.begin(), text.end(), '\n') : 0;
  std::string in;
  while (good && answers > 0) {
    char bytes[1024];
    const auto [error, count] = co_await socket.async_read_some(net::asio::buffer(bytes), net::kResult);
    good = !error;
    if (good) answers -= std::count(bytes, bytes + count, '\n');
  }
  limit_.cancel();
  co_return good;
}

}  // namespace cranemux::metrics
