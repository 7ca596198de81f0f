// A long answer on its way from a worker to its client: no more is read than the client takes.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "attempt/attempts.h"
#include "front/channel_server.h"

namespace cranemux::front {

class BodyRelay : public StreamSource, public std::enable_shared_from_this<BodyRelay> {
 public:
  BodyRelay(std::shared_ptr<attempt::Upstream> up, metrics::Lane* lane, metrics::Counters& counters);
  void begin(std::shared_ptr<HttpChannel> channel) override;
  void closed() override;
  void drain() override {}  // it goes on to its end
  void taken() override { room_.cancel(); }
  bool bounded() const override { return true; }
  std::optional<std::uint64_t> length() const override;

 private:
  net::awaitable<void> pump(std::shared_ptr<BodyRelay> self);
  bool is_last();
  net::awaitable<bool> wait_for_room();
  net::awaitable<bool> read();
  void send(std::string&& data, bool last);
  void end(bool whole);

  std::shared_ptr<attempt::Upstream> up_;
  metrics::Lane* lane_;
  metrics::Counters& counters_;
  http::BodyReader reader_;
  std::shared_ptr<HttpChannel> channel_;
  net::WorkSource work_;
  net::asio::steady_timer room_, silence_;
  bool ended_ = false;  // the worker gives no more
};

}  // namespace cranemux::front
