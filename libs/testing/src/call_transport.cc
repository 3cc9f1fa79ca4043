#include "pomelomill/testing/call_transport.h"

namespace pomelomill::testing {

void CallTransport::Send(FakeProcess& process, Fault fault,
                         const std::function<void()>& arrive) {
  if (fault == Fault::kLoseRequest) return;
  if (drops_request && drops_request(process)) return;
  const std::string& name = process.name();
  if (fault == Fault::kReorder) {
    world_.ScheduleAfter(latency, [this, name, arrive] {
      auto once = std::make_shared<bool>(false);
      auto release = [once, arrive] {
        if (std::exchange(*once, true)) return;
        arrive();
      };
      held_[name].push_back(release);
      world_.ScheduleAfter(reorder_limit, release);
    });
    return;
  }
  const Duration delay =
      latency + (fault == Fault::kLateRequest ? late : Duration(0));
  world_.ScheduleAfter(delay, [this, name, arrive] { Arrive(name, arrive); });
  if (fault == Fault::kDuplicate) {
    world_.ScheduleAfter(delay + duplicate_after,
                         [this, name, arrive] { Arrive(name, arrive); });
  }
}

void CallTransport::Arrive(const std::string& process,
                           const std::function<void()>& arrive) {
  arrive();
  auto held = std::move(held_[process]);
  held_[process].clear();
  for (const auto& release : held) release();
}

}  // namespace pomelomill::testing
