// Serving, and talking to who serves.
#include <unistd.h>

#include <future>
#include <iostream>

#include "aside.h"
#include "cli/commands.h"
#include "console/console.h"
#include "gatekeeper.h"

namespace cranemux::cli {
namespace {

constexpr std::chrono::milliseconds kFlush{250};

// What waits for a reader of the log that had stalled goes on as soon as it reads again.
net::awaitable<void> flush_log(metrics::Logger& logger) {
  net::asio::steady_timer timer(co_await net::asio::this_coro::executor);
  for (;;) {
    timer.expires_after(kFlush);
    co_await timer.async_wait(net::kResult);
    logger.flush();
  }
}

// Reads a file beside the serving thread; what that brings, the result or a fault, is taken up by that
// thread.
template <typename Result>
void read_beside(Aside& aside, std::function<Result()> read,
                 std::function<void(std::function<Result()>)> take_up) {
  aside.run([read, take_up]() -> Aside::Then {
    auto result = std::make_shared<std::promise<Result>>();
    try {
      result->set_value(read());
    } catch (...) {
      result->set_exception(std::current_exception());
    }
    return [take_up, result] { take_up([result] { return result->get_future().get(); }); };
  });
}

struct Files {
  std::string services, graphql;  // at most one of them
};

void reload(Aside& aside, Gatekeeper& gatekeeper, const Files& files) {
  if (!files.services.empty()) {
    read_beside<front::ServicesPlan>(
        aside, [file = files.services] { return front::plan_services(file, environment); },
        [&gatekeeper](const auto& read) { gatekeeper.reload_services(read); });
  } else if (!files.graphql.empty()) {
    read_beside<front::GraphqlSetup>(
        aside, [file = files.graphql] { return front::set_up_graphql(file, true); },
        [&gatekeeper](const auto& read) { gatekeeper.reload_graphql(read); });
  } else {
    gatekeeper.reload([] { return config::reload(environment); });
  }
}

}  // namespace

int serve(const ServeCommand& command) {
  // Before all else: until they are caught, signals end the process, and from the listening socket on clients
  // may have come. Those that come early are taken up once it serves.
  net::asio::io_context io(1);
  net::asio::signal_set stops(io, SIGTERM, SIGINT), asks(io, SIGUSR1, SIGHUP);
  Options options;
  options.console = command.console;
  options.graphite = command.graphite;
  options.collectd = command.collectd;
  options.export_every = std::chrono::milliseconds(static_cast<std::int64_t>(command.export_s * 1000));
  if (!command.graphql.empty()) options.graphql = front::set_up_graphql(command.graphql, true);
  const Files files{command.services, command.graphql};
  metrics::Logger logger(STDERR_FILENO, *metrics::level_named(command.log),
                         command.log_format == "json" ? metrics::LogForm::json : metrics::LogForm::text);
  std::optional<Gatekeeper> gatekeeper;
  if (files.services.empty()) {
    gatekeeper.emplace(io, config::load(environment), options, logger);
  } else {
    gatekeeper.emplace(io, front::plan_services(files.services, environment), options, logger);
  }
  stops.async_wait([&](const boost::system::error_code& error, int) {
    if (!error) gatekeeper->drain();
  });
  Aside aside(io);
  std::function<void(const boost::system::error_code&, int)> asked = [&](const auto& error, int signal) {
    if (error) return;
    if (signal == SIGUSR1) std::cerr << gatekeeper->counters() << gatekeeper->figures() << std::flush;
    if (signal == SIGHUP) reload(aside, *gatekeeper, files);
    asks.async_wait(asked);
  };
  asks.async_wait(asked);
  net::spawn(io, logger, "log", flush_log(logger));
  gatekeeper->start();
  io.run();
  std::cerr << gatekeeper->counters() << gatekeeper->figures() << std::flush;
  return 0;
}

int talk(const std::string& socket, const std::string& command) {
  return console::run_client(socket, command);
}

}  // namespace cranemux::cli
