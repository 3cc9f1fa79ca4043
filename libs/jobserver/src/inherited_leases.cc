#include "inherited_leases.h"

#include <algorithm>
#include <utility>

namespace pomelomill {
namespace {

/// Longest time that a lease lasts by the owner's clock, per second of the
/// lease: the worker's clock may be 2% slow.
constexpr double kLeaseStretch = 1.05;

}  // namespace

InheritedLeases::InheritedLeases(
    const JobServiceSettings& settings, const TimerService& timers,
    std::function<bool(const OwnerRecord&)> has_stopped)
    : timers_(timers),
      longest_task_lease_(std::chrono::duration_cast<Duration>(
          settings.task_lease * kLeaseStretch)),
      has_stopped_(std::move(has_stopped)),
      extended_until_(timers.Now() + settings.order_grace) {}

void InheritedLeases::SetPrevious(const RosterRecord& previous,
                                  const std::optional<PoolOwnership>& former) {
  if (previous.owner) previous_entry_ = previous.owner->entry.value();
  if (former && previous.owner == former->owner &&
      previous.owner_count == former->owner_count) {
    // The process is the previous owner and sends no orders as such any more.
    basis_ = "own";
    extended_until_ = std::min(extended_until_,
                               std::max(timers_.Now(), former->extended_until));
    return;
  }
  if (!previous.are_earlier_owners_gone) return;
  if (previous.is_released) {
    basis_ = "released";
    extended_until_ = std::min(extended_until_, timers_.Now());
  } else {
    awaited_ = previous.owner;
    Update();
  }
}

bool InheritedLeases::Update() {
  const Instant now = timers_.Now();
  if (!awaited_ || now >= extended_until_ || !has_stopped_(*awaited_))
    return false;
  awaited_.reset();
  basis_ = "stopped";
  extended_until_ = now;
  return true;
}

std::vector<EventField> InheritedLeases::Fields() const {
  return {{"former", previous_entry_},
          {"basis", basis_},
          {"lapse_in_ms", std::to_string(ToMillis(Remaining()))}};
}

Duration InheritedLeases::Remaining() const {
  return extended_until_ + longest_task_lease_ - timers_.Now();
}

Duration InheritedLeases::RemainingWithOwn() const {
  return std::max(Remaining(), longest_task_lease_);
}

}  // namespace pomelomill
