// Channels of clients that speak HTTP: accepts them, reads one request at a time, writes the answers, and
// bounds what a channel may hold and for how long. A front says what a request means.
#pragma once

#include <algorithm>
#include <array>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "attempt/body_pipe.h"
#include "core/core.h"
#include "front/arrival_deadline.h"
#include "front/body_arrival.h"
#include "front/channel_policy.h"
#include "front/last_byte_estimate.h"
#include "http/http.h"
#include "lifecycle/lifecycle.h"
#include "net/net.h"
#include "net/turn_scheduler.h"

namespace cranemux::front {

class ChannelServer;
struct Handled;

class HttpChannel;

// What sends on after an answer's head, until it ends the channel.
class StreamSource {
 public:
  virtual ~StreamSource() = default;
  virtual void begin(std::shared_ptr<HttpChannel> channel) = 0;  // the head is on its way
  virtual void closed() = 0;                                     // the client has gone, or was cut
  virtual void drain() = 0;                                      // ends in order, soon
  virtual void taken() {}  // all that was sent has been taken by the client
  // Is one answer of known or chunked length, after which the channel goes on?
  virtual bool bounded() const { return false; }
  virtual std::optional<std::uint64_t> length() const { return std::nullopt; }
};

struct Reply {
  int status = 200;
  std::string body;
  std::string fields = {};  // further header lines, each with its end
  std::string_view type = "application/octet-stream";
  std::shared_ptr<StreamSource> stream = {};  // then `body` is only the first part
};

// One client's connection.
class HttpChannel : public core::Channel, public std::enable_shared_from_this<HttpChannel> {
 public:
  HttpChannel(net::tcp::socket socket, ChannelServer& server);
  ~HttpChannel() override;
  net::awaitable<void> run();
  void answer(core::RpcId rpc, core::FinalAnswer&& answer) override;
  bool left() override;
  std::chrono::nanoseconds waited() const override;
  void close_between_requests();
  // Of a stream: a part goes to the client, or waits until it takes more. False: the client has gone.
  bool send(std::string_view part);
  std::size_t unsent() const { return out_.size() - sent_ + next_.size(); }
  net::Clock::time_point took_last() const { return since_; }  // the client has taken something
  void end_stream();                                           // once all is sent
  bool chunks() const { return chunks_; }                      // the stream's parts go as chunks
  bool pressed() const;                                        // all channels together hold much
  void drain();  // a stream ends in order, an idle channel at once

  using State = ChannelState;
  State state() const;
  std::size_t read() const {
    return upload_ ? upload_->received : in_.size();
  }                                                        // of a request that is not whole
  net::Clock::time_point since() const { return since_; }  // this state began
  bool overdue(net::Clock::time_point now, bool crowded);  // has been in this state for too long
  std::size_t bytes() const {
    return in_.capacity() + out_.capacity() + next_.capacity() + body_ +
           (upload_ ? upload_->pipe->held() : 0);
  }
  void cut();
  void bound_kernel(int bytes);                   // what the kernel holds of its answers
  void break_off();                               // in the middle of an answer, so that the client can tell
  void look_for_end(net::Clock::time_point now);  // of a body that is not read on
  void time_out();  // its limit is over: says so, where the client has begun a request, and closes
  void give_way();  // a request that is not whole is refused, as memory is short
  bool evict();     // closes it at once, unless something has come on it that is not read yet

 private:
  bool engaged() const { return waits_ || writing_ || stream_; }  // with a request, up to its answer's end
  // Answers what has come, request by request, until the turn is over.
  void process();
  bool process_next(
      std::size_t& at);  // the request at `at` of `in_`; false: none is whole, or may be taken up yet
  bool can_process(std::size_t at) const;
  void process_soon();  // in a turn of its own
  net::awaitable<void> process_later(std::shared_ptr<HttpChannel> self);
  void drop_processed(std::size_t at);
  bool must_pause() const;
  void go_on(const http::Message& message);
  void begin(const http::Message& message);
  void took(Handled&& handled);
  Reply health(std::string_view target) const;
  // A body that is longer than is held.
  struct Upload {
    Upload(std::string_view text, const http::Framing& framing, std::size_t most);
    const std::string head;
    http::BodyReader reader;
    const std::shared_ptr<attempt::BodyPipe> pipe;
    std::size_t received = 0;
    std::uint64_t read = 0;  // bytes of the connection, with what frames the body
    BodyArrival arrival;
    LastByteEstimate last_byte;
    std::chrono::nanoseconds budget{};  // of the RPC, once it is taken
    bool asked = false, done = false;   // the RPC is taken; the last byte has been read
    bool timed = false;                 // the last byte has reached this machine: the RPC's time runs
    net::Clock::time_point paused, looked;
  };
  bool uploading() const { return upload_ && !upload_->done; }
  bool begin_upload(const http::Message& message);
  void observe_body(net::Clock::time_point now, std::size_t unread);
  void begin_time_if_due();
  void feed();
  void ask(bool whole);                              // puts the upload to the front
  void begin_time(std::chrono::nanoseconds waited);  // of an upload that was asked for
  void end_upload();
  void fail(int status);  // of a request that is not whole
  void await_request();   // its time begins
  void reply(const Reply& reply);
  void send_replies();  // those that wait in `out_` for one write
  void write();
  net::awaitable<void> write_rest(std::shared_ptr<HttpChannel> self);
  void written();
  void shut();
  void counted();
  void count_bytes();
  bool unread();   // something has come that is not read yet
  bool hung_up();  // the client's end has come, also behind bytes that are not read
  void client_left();
  void place();  // where the server counts it: among the busy, the idle or neither
  void resume();

  net::tcp::socket socket_;
  ChannelServer& server_;
  net::WorkSource work_;
  std::string in_, out_;
  std::size_t need_ = 0, sent_ = 0, discarded_ = 0;
  std::size_t body_ = 0;     // of the RPC in flight
  std::size_t counted_ = 0;  // bytes that the server knows of
  std::list<HttpChannel*>::iterator idle_at_;
  bool in_idle_ = false, in_busy_ = false;
  core::RpcId rpc_ = 0;
  std::shared_ptr<void> context_;  // the front's own, for the answer
  net::Clock::time_point since_ = net::Clock::now();
  ArrivalDeadline request_due_{since_};
  bool waits_ = false, writing_ = false, last_ = false, broken_ = false, processing_ = false, left_ = false;
  bool process_queued_ = false;  // waits for a turn in which to process what has come
  bool spoke_ = false;           // has had an answer
  std::unique_ptr<Upload> upload_;
  std::shared_ptr<StreamSource> stream_;
  std::string next_;  // of a stream, behind `out_`
  bool stream_ends_ = false, chunks_ = false;
  bool old_ = false;        // the client speaks HTTP/1.0
  bool continued_ = false;  // has been told to go on with its body
  bool paused_ = false;     // holds enough; reads on once it has answered
};

// A request as a front gets it.
struct Incoming {
  const http::Message& message;
  std::shared_ptr<core::Channel> channel;
  std::string_view target = {};                  // as it is sent on, where that is not the message's
  std::chrono::nanoseconds waited{};             // of its time, elsewhere
  std::shared_ptr<void> lasts = {};              // stays while the RPC, or a call attempt of it, is at work
  std::shared_ptr<attempt::BodyPipe> body = {};  // a long one, instead of the message's
};

// What a front makes of a request: a reply at once, or an RPC made on the channel.
struct Handled {
  std::optional<Reply> reply = {};
  core::RpcId rpc = 0;
  std::shared_ptr<void> context = {};
  std::chrono::nanoseconds budget = {};  // of an RPC with a long body: until its client gives up
};

class Front {
 public:
  virtual ~Front() = default;
  virtual Handled request(const Incoming& incoming) = 0;
  virtual Reply answer(core::FinalAnswer&& answer, const std::shared_ptr<void>& context) = 0;
  virtual Reply malformed(int status) = 0;
  // Of a body that is longer than a channel holds: what is to be said to its head at once. None: it may come,
  // `request` with what has come of it, and `uploaded` with its last byte, unless that was there. `waited`:
  // for how long, at most, that byte has been on this machine.
  virtual std::optional<Reply> long_body(const http::Message&) { return malformed(413); }
  virtual void uploaded(core::RpcId, std::chrono::nanoseconds /*waited*/) {}
  virtual Reply unavailable(std::chrono::nanoseconds come_back, const http::Message& message) = 0;
  virtual void abandoned(core::RpcId rpc, const std::shared_ptr<void>& context) = 0;
  // The class that a request belongs to, empty where it can't be told: for routes that go by it.
  virtual std::string class_of(const http::Message& message) const = 0;
};

// Where clients come: an address to listen on, or a socket that listens already and was inherited.
struct Door {
  config::Address listen;
  std::optional<int> inherited = {};
};

struct ChannelLimits {
  std::size_t sockets = 1024;  // descriptors of the whole process
  std::size_t channels = 600;
  std::size_t bytes = 16 * 1024 * 1024;  // that all channels together may hold
};

class ChannelServer {
 public:
  ChannelServer(net::asio::io_context& io, const Door& door, const ChannelLimits& limits, Front& front,
                const lifecycle::Lifecycle& lifecycle, metrics::Logger& logger, metrics::Counters& counters);
  ~ChannelServer();
  void start();
  void drain();  // closes channels between requests, and lets streams end; still accepts
  void stop();   // accepts no more; channels go on
  // Another process that has the same socket accepts instead; or this one again.
  void pause(bool paused);
  // So many channels are another process's for now.
  void lend(std::size_t channels) { lent_ = channels; }
  std::size_t size() const { return channels_.size(); }
  bool idle() const { return channels_.empty(); }
  std::size_t busy() const { return busy_; }  // channels with a request that is taken and not yet ended

 private:
  friend class HttpChannel;
  void inherit(int fd);
  net::awaitable<void> accept();
  bool accept_some();  // what has come, until the turn is over; false: there is no room for more
  bool full();
  net::awaitable<void> pause_accepting();
  net::awaitable<void> sweep();
  bool make_room();
  std::size_t most() const { return limits_.channels - std::min(lent_, limits_.channels * 3 / 4); }
  void make_memory();
  void keep_idle_budget();
  void left(HttpChannel* channel);
  std::vector<HttpChannel*> channels() const { return {channels_.begin(), channels_.end()}; }

  net::asio::io_context& io_;
  net::TurnScheduler& turns_;
  net::WorkSource accepting_;
  net::tcp::acceptor acceptor_;
  net::asio::steady_timer pause_, sweeper_;
  const ChannelLimits limits_;
  Front& front_;
  const lifecycle::Lifecycle& lifecycle_;
  metrics::Logger& logger_;
  metrics::Counters& counters_;
  std::array<char, 16 * 1024> piece_{};  // what a channel has just read
  std::unordered_set<HttpChannel*> channels_;
  const IdleBudget idle_budget_;
  std::list<HttpChannel*> idle_;  // longest idle first
  std::size_t busy_ = 0;          // with an RPC, or with an answer that is not written yet
  std::size_t bytes_ = 0;         // held by all channels
  std::size_t lent_ = 0;
  bool full_ = false, paused_ = false;
};

}  // namespace cranemux::front
