#include "inherited_leases.h"

#include <algorithm>
#include <utility>

#include "pomelomill/jobserver/worker_link.h"

namespace pomelomill {
namespace {

/// Versions that store no LeaseTerms had this default.
constexpr Duration kFormerOrderGrace = std::chrono::seconds(5);

LeaseTerms Longest(const LeaseTerms& a, const LeaseTerms& b) {
  return {.order_grace = std::max(a.order_grace, b.order_grace),
          .task_lease = std::max(a.task_lease, b.task_lease)};
}

/// Returns the longest time that the lease lasts by the owner's clock.
Duration OnSlowestClock(Duration lease) {
  return std::chrono::round<Duration>(
      lease * (1 + WorkerLinkOptions{}.max_clock_drift));
}

}  // namespace

InheritedLeases::InheritedLeases(
    const JobServiceSettings& settings, const TimerService& timers,
    std::function<bool(const OwnerRecord&)> has_stopped)
    : timers_(timers),
      own_terms_{.order_grace = settings.order_grace,
                 .task_lease = settings.task_lease},
      has_stopped_(std::move(has_stopped)),
      acquired_at_(timers.Now()),
      terms_(Longest(own_terms_, {.order_grace = kFormerOrderGrace})),
      extended_until_(acquired_at_ + terms_.order_grace) {}

void InheritedLeases::SetPrevious(
    const RosterRecord& previous, const std::optional<PoolOwnership>& former,
    const std::optional<ClusterView::Vacancy>& vacancy) {
  if (previous.owner) previous_entry_ = previous.owner->entry.value();
  if (previous.lease_terms) terms_ = *previous.lease_terms;
  // An owner between the two ownerships would have stored its own token before
  // it called any worker.
  const bool is_end_known = previous.token != FencingToken() && vacancy &&
                            vacancy->former == previous.token;
  if (is_end_known) basis_ = "vacated";
  extended_until_ =
      (is_end_known ? vacancy->since : acquired_at_) + terms_.order_grace;
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

LeaseTerms InheritedLeases::TermsToStore() const {
  LeaseTerms terms = own_terms_;
  if (timers_.Now() < extended_until_) terms = Longest(terms, terms_);
  if (Remaining() > Duration(0))
    terms.task_lease = std::max(terms.task_lease, terms_.task_lease);
  return terms;
}

Duration InheritedLeases::Remaining() const {
  return extended_until_ + OnSlowestClock(terms_.task_lease) - timers_.Now();
}

Duration InheritedLeases::RemainingWithOwn() const {
  return std::max(Remaining(), OnSlowestClock(own_terms_.task_lease));
}

}  // namespace pomelomill
