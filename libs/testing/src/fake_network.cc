#include "pomelomill/testing/fake_network.h"

#include <memory>

namespace pomelomill::testing {

void FakeNetwork::Send(FakeProcess& from, FakeProcess& to,
                       const std::string& step, std::function<void()> deliver) {
  if (!from.is_running()) return;
  const std::uint64_t run = from.run();
  const Fault fault = injector_ ? injector_->Before(step, from) : Fault::kNone;
  if (!from.is_running()) return;

  const std::size_t message = messages_.size();
  messages_.push_back({world_.Now(), from.name(), to.name(), step, 0});
  auto send = [this, fault, message, &to, deliver = std::move(deliver)] {
    if (fault == Fault::kLoseRequest || fault == Fault::kLoseResponse) return;
    auto arrive = [this, message, &to, deliver] {
      Deliver(message, to, deliver);
    };
    const bool is_late =
        fault == Fault::kLateRequest || fault == Fault::kLateResponse;
    if (fault == Fault::kReorder) {
      auto once = std::make_shared<bool>(false);
      auto release = [once, arrive] {
        if (std::exchange(*once, true)) return;
        arrive();
      };
      const NetworkMessage& it = messages_[message];
      held_[{it.from, it.to}].push_back(release);
      world_.ScheduleAfter(reorder_limit, release);
      return;
    }
    world_.ScheduleAfter(latency + (is_late ? late : Duration(0)), arrive);
    if (fault == Fault::kDuplicate) {
      world_.ScheduleAfter(latency + duplicate_after, arrive);
    }
  };
  from.RunInside(run, send);
  if (injector_) injector_->After(fault, from);
}

void FakeNetwork::Deliver(std::size_t message, FakeProcess& to,
                          const std::function<void()>& deliver) {
  const std::string from = messages_[message].from;
  // Checked on arrival, so that a partition also stops messages under way.
  if (is_blocked(from, to.name())) return;
  if (to.is_running()) ++messages_[message].deliveries;
  to.RunInside(to.run(), deliver);
  auto held = std::move(held_[{from, to.name()}]);
  held_[{from, to.name()}].clear();
  for (const auto& release : held) release();
}

void FakeNetwork::Block(const std::string& from, const std::string& to) {
  blocked_.insert({from, to});
}

void FakeNetwork::Open(const std::string& from, const std::string& to) {
  blocked_.erase({from, to});
}

void FakeNetwork::HealAll() {
  blocked_.clear();
  blocked_from_.clear();
  blocked_to_.clear();
}

bool FakeNetwork::is_blocked(const std::string& from,
                             const std::string& to) const {
  return blocked_.contains({from, to}) || blocked_from_.contains(from) ||
         blocked_to_.contains(to);
}

}  // namespace pomelomill::testing
