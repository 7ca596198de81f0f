// The platform's protocol: a thin front.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

#include "attempt/attempts.h"
#include "front/channel_server.h"
#include "front/platform/recent_ids.h"

namespace cranemux::front {

class PlatformFront : public Front {
 public:
  PlatformFront(core::Core& core, std::vector<std::string> load_fields, metrics::Counters& counters);
  Handled request(const Incoming& incoming) override;
  Reply answer(core::FinalAnswer&& answer, const std::shared_ptr<void>& context) override;
  Reply malformed(int status) override;
  Reply unavailable(std::chrono::nanoseconds come_back, const http::Message& message) override;
  std::optional<Reply> long_body(const http::Message& head) override {
    core::RpcTerms terms;
    return read(head, true, terms);
  }
  void uploaded(core::RpcId rpc, std::chrono::nanoseconds waited) override { core_.uploaded(rpc, waited); }
  void abandoned(core::RpcId rpc, const std::shared_ptr<void>&) override { core_.abandoned(rpc); }
  // Ids that are not taken again: of requests in flight, and of those that may have run and must not run
  // again.
  std::vector<std::string> known_ids() const;
  // Another process of this gatekeeper has taken it: not taken here until that has ended, and for as long
  // afterwards as clients may come again.
  void taken_elsewhere(const std::string& id);
  void other_process_ended();
  // While another process of this gatekeeper serves, too: told the id of each request that must not run
  // again.
  std::function<void(const std::string& id)> on_taken;
  std::string class_of(const http::Message& message) const override;

 private:
  // Fills in the terms, or says what is wrong with them.
  std::optional<Reply> read(const http::Message& message, bool has_body, core::RpcTerms& terms) const;

  bool is_known(const std::string& id) const;

  core::Core& core_;
  metrics::Counters& counters_;
  std::unordered_set<std::string> elsewhere_;
  std::shared_ptr<const std::vector<std::string>> load_fields_;
  // Ids of RPCs that are in flight, kept by their payloads.
  std::shared_ptr<std::unordered_set<std::string>> open_ =
      std::make_shared<std::unordered_set<std::string>>();
  std::shared_ptr<RecentIds> recent_ = std::make_shared<RecentIds>();
};

// `TEXT inflight=7, queue=2`: the fields that the settings name.
cranemux::LoadReport parse_load(std::string_view text, const std::vector<std::string>& fields);

}  // namespace cranemux::front
