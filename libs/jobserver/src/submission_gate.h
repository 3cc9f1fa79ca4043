#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>

#include "pomelomill/admission.h"
#include "pomelomill/base/random.h"
#include "pomelomill/base/timer_service.h"
#include "pomelomill/jobserver/fleet_config.h"
#include "pomelomill/store/store_client.h"
#include "store_records.h"

namespace pomelomill {

struct SubmissionGateHooks {
  /// Whether a commit of the job has no known outcome at this entry.
  std::function<bool(const JobId&)> may_become_stored;
  /// Passes on the location of the job, from a cache of stored jobs or a
  /// linearizable read; nullopt when the job is not stored.
  std::function<void(const JobId&, StoreCallback<std::optional<JobLocation>>)>
      find_location;
  /// Published backlog of the pool; null when there is none.
  std::function<const PoolBacklog*(const PoolId&)> find_backlog;
  /// Number of registered entries.
  std::function<std::size_t()> count_entries;
};

/// Decides on the submissions of an entry, so that a rejection is true: the
/// attempt writes nothing, and the job is neither stored nor being stored as
/// far as can be known here. A job is rejected only when
///
/// - no submission of its id is in progress at this entry,
/// - no commit of its id has an unknown outcome at this entry, and
/// - a linearizable read made after the submission arrived does not find it.
///
/// Only another attempt with the same id can make the job run, see
/// docs/design/admission.md.
class SubmissionGate {
 public:
  /// `timers` must outlive this object.
  SubmissionGate(TimerService& timers, std::uint64_t seed,
                 SubmissionGateHooks hooks)
      : timers_(timers),
        hooks_(std::move(hooks)),
        random_(seed),
        book_(random_) {}
  SubmissionGate(const SubmissionGate&) = delete;
  SubmissionGate& operator=(const SubmissionGate&) = delete;

  /// Passes on the rejection, or nullopt when the job is to be submitted. An
  /// admission needs no call on the store and is passed on before this returns.
  void Decide(const JobId& job, const QueueConfig& queue, const JobSpec& spec,
              std::function<void(std::optional<Rejection>)> done);

  /// The job has been submitted, and its submission has ended.
  void OnSubmitted(const JobId& job) { submitted_.insert(job); }
  void OnAnswered(const JobId& job);

 private:
  bool MayBeStored(const JobId& job) const {
    return submitted_.contains(job) || hooks_.may_become_stored(job);
  }

  TimerService& timers_;
  const SubmissionGateHooks hooks_;
  Random random_;
  AdmissionBook book_;
  /// Submissions in progress.
  std::multiset<JobId> submitted_;
  /// Expires with this object; callbacks of calls in flight then do nothing.
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

}  // namespace pomelomill
