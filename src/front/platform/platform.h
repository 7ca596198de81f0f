// The platform's protocol: a thin front.
#pragma once

#include "attempt/attempts.h"
#include "front/channel_server.h"

namespace cranemux::front {

class PlatformFront : public Front {
 public:
  PlatformFront(core::Core& core, std::vector<std::string> load_fields);
  Handled request(const http::Message& message, const std::shared_ptr<core::Channel>& channel) override;
  Reply answer(core::FinalAnswer&& answer, const std::shared_ptr<void>& context) override;
  Reply malformed(int status) override;

 private:
  core::Core& core_;
  std::shared_ptr<const std::vector<std::string>> load_fields_;
};

// `TEXT inflight=7, queue=2`: the fields that the settings name.
cranemux::LoadReport parse_load(std::string_view text, const std::vector<std::string>& fields);

}  // namespace cranemux::front
