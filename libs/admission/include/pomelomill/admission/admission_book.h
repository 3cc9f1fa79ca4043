#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "pomelomill/base/ids.h"
#include "pomelomill/base/random.h"
#include "pomelomill/base/time.h"
#include "pomelomill/dispatch/backlog.h"
#include "pomelomill/dispatch/dispatcher.h"

namespace pomelomill {

/// A submission to decide on.
struct Submission {
  JobId job;
  PoolId pool;
  JobDemand demand;
  QueuePolicy policy;
};

/// What an entry knows of the pool of a submission.
struct PoolState {
  /// Published backlog; null when there is none.
  const PoolBacklog* backlog = nullptr;
  /// Number of entries among which the callers are spread. An entry knows only
  /// of its own rejections and takes the others to make as many.
  std::size_t entries = 1;
};

enum class RejectReason {
  /// The job would end when it is of no use any more.
  kNoUse,
  /// The job would end late. It is still of use when it returns after the
  /// backlog, and does not delay jobs that can be in time meanwhile.
  kLate,
  /// The caller was told to return and has come before that time.
  kEarly,
};

const char* ToText(RejectReason reason);

struct Rejection {
  RejectReason reason = RejectReason::kNoUse;
  /// Whole seconds after which the caller should return; at least 1.
  std::uint32_t retry_after_s = 1;
};

/// Admits or rejects the submissions of one entry.
///
/// A job is due after its objective and of no use after three times that. A job
/// that can end in time by the published backlog is always admitted, and so is
/// every job while no backlog is published.
///
/// Addresses load peaks of several times a pool's capacity, in which jobs that
/// cannot be in time wait for a result that nobody needs, and those that become
/// urgent take the cores of jobs that could still be in time. Not thread-safe.
class AdmissionBook {
 public:
  /// Most rejected jobs that are remembered, a few hundred bytes each: 68
  /// rejections a second over kMaxRetryAfter. The one that would be forgotten
  /// first gives way to a new one.
  static constexpr std::size_t kMaxPromises = 4'096;
  /// Longest time to return that is given. Callers wait for far less; a longer
  /// estimate says little about the load at that time.
  static constexpr Duration kMaxRetryAfter = std::chrono::seconds(60);

  /// `random` must outlive the book.
  explicit AdmissionBook(Random& random) : random_(random) {}

  /// Returns the rejection, or nullopt when the job is admitted.
  std::optional<Rejection> Decide(const Submission& submission,
                                  const PoolState& state, Instant now);
  /// Forgets the job: its rejection was not sent, or it is accepted.
  void Forget(const JobId& job);

  /// Number of jobs that were told to return and are remembered.
  std::size_t promises() const { return promises_.size(); }

 private:
  /// A job that was told to return.
  struct Promise {
    PoolId pool;
    std::uint64_t core_ms = 0;
    Instant return_at{};
    /// Whether `core_ms` is part of the promised work of the pool.
    bool is_counted = true;
  };

  void Expire(Instant now);
  void StopCounting(Promise& promise);
  /// Returns the seconds after which the pool has room: when it has done its
  /// backlog and the work that was told to return before, plus a random part.
  std::uint32_t ChooseReturn(const PoolId& pool, const PoolState& state);
  void RememberPromise(const Submission& submission, Instant return_at);

  Random& random_;
  std::map<JobId, Promise> promises_;
  /// Times at which promises cease to count, and later are forgotten.
  std::multimap<Instant, JobId> expiries_;
  /// Core-milliseconds of the jobs that are still to return.
  std::map<PoolId, std::uint64_t> promised_core_ms_;
};

}  // namespace pomelomill
