// Channels of clients that speak HTTP: accepts them, reads one request at a time, writes the answers.
// A front says what a request means.
#pragma once

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

#include "core/core.h"
#include "http/http.h"
#include "net/net.h"

namespace cranemux::front {

class ChannelServer;

struct Reply {
  int status = 200;
  std::string body;
  std::string fields = {};  // further header lines, each with its end
  std::string_view type = "application/octet-stream";
};

// One client's connection.
class HttpChannel : public core::Channel, public std::enable_shared_from_this<HttpChannel> {
 public:
  HttpChannel(net::tcp::socket socket, ChannelServer& server);
  ~HttpChannel() override;
  net::awaitable<void> run();
  void answer(core::RpcId rpc, core::FinalAnswer&& answer) override;
  void close_between_requests();
  void evict();  // closes it, where nothing is owed on it
  bool idle() const { return !waits_ && !writing_; }
  bool settled() const { return !last_ && in_.empty(); }  // between two requests
  net::Clock::time_point idle_since() const { return idle_since_; }

 private:
  void process();
  void reply(const Reply& reply);
  void write();
  net::awaitable<void> write_rest(std::shared_ptr<HttpChannel> self);
  void written();
  void shut();

  net::tcp::socket socket_;
  ChannelServer& server_;
  std::array<char, 4096> piece_{};  // being read; apart from in_, which answers look at meanwhile
  std::string in_, out_;
  std::size_t need_ = 0, sent_ = 0;
  core::RpcId rpc_ = 0;
  std::shared_ptr<void> context_;  // the front's own, for the answer
  net::Clock::time_point idle_since_ = net::Clock::now();
  bool waits_ = false, writing_ = false, last_ = false, broken_ = false, processing_ = false;
};

// What a front makes of a request: a reply at once, or an RPC made on the channel.
struct Handled {
  std::optional<Reply> reply;
  core::RpcId rpc = 0;
  std::shared_ptr<void> context = {};
};

class Front {
 public:
  virtual ~Front() = default;
  virtual Handled request(const http::Message& message, const std::shared_ptr<core::Channel>& channel) = 0;
  virtual Reply answer(core::FinalAnswer&& answer, const std::shared_ptr<void>& context) = 0;
  virtual Reply malformed(int status) = 0;
};

class ChannelServer {
 public:
  ChannelServer(net::asio::io_context& io, const config::Address& listen, std::size_t most_channels,
                Front& front, core::Core& core, metrics::Logger& logger, metrics::Counters& counters);
  void start();
  void drain();  // answers what is taken, closes channels between requests; still accepts
  void stop();   // accepts no more
  bool idle() const { return channels_.empty(); }

 private:
  friend class HttpChannel;
  net::awaitable<void> accept();
  void make_room();

  net::asio::io_context& io_;
  net::tcp::acceptor acceptor_;
  net::asio::steady_timer pause_;
  const std::size_t most_channels_;
  Front& front_;
  core::Core& core_;
  metrics::Logger& logger_;
  metrics::Counters& counters_;
  std::unordered_set<HttpChannel*> channels_;
  bool draining_ = false;
};

}  // namespace cranemux::front
