// Any bytes as what another process tells: frames, records, and the module's memory, which it goes on with.
#include "cranemux/decision_module.h"
#include "handover/state.h"
#include "target.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace cranemux;
  const std::string bytes(reinterpret_cast<const char*>(data), size);
  auto in = bytes;
  handover::Frame frame;
  if (handover::take_frame(in, frame) == handover::Verdict::whole) fuzz::demand(in.size() < bytes.size());
  if (auto state = handover::unpack<handover::State>(bytes)) fuzz::demand(handover::pack(*state).size() > 0);
  Settings settings;
  settings.classes = {{.name = "status", .aim = 400'000'000, .give_up = 1'500'000'000}};
  settings.plans = {{.name = "corner", .rate = 1, .burst = 4}};
  DecisionModule decision_module(settings);
  std::vector<Action> actions;
  constexpr Nanos kNow = 100'000'000'000;
  if (!decision_module.restore(kNow, bytes, actions)) return 0;
  Request request;
  request.id = "1";
  request.klass = "status";
  request.plan = "corner";
  request.customer = "c";
  request.budget = 1'000'000'000;
  decision_module.step(kNow + 1'000'000, {ServerList{ListScope::stored, {{.id = "one"}}}, request}, actions);
  decision_module.step(kNow + 300'000'000, {Timer{1}}, actions);
  return 0;
}
