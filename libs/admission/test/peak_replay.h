#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace pomelomill {

/// Replays load peaks on one pool in virtual time, with the real Dispatcher and
/// AdmissionBook: callers, entries, the published backlog and the workers are
/// simulated.
struct ReplayOptions {
  enum class Fault {
    kNone,
    /// A third of the workers is lost 2 s into each peak, for 10 s.
    kRackDown,
    /// The store does not answer from 1 s to 4 s of each peak.
    kStoreAway,
    /// The pool has no owner from 2 s to 3.5 s of each peak, and no published
    /// backlog until 5 s.
    kOwnerReplaced,
  };

  std::uint64_t seed = 1;
  /// Without it, every submission is admitted.
  bool uses_admission = true;
  /// Mean number of jobs a second of all queues during a peak. The pool can do
  /// about 2.
  double peak_per_s = 8;
  Fault fault = Fault::kNone;
  /// Rejected callers return after 0.1 s, whatever they were told.
  bool returns_at_once = false;
  /// With two queues, the second one has narrow jobs of one step and half of
  /// the submissions.
  std::size_t queues = 1;
  /// Peaks at intervals of 23.4 s, in which the demand is five times the mean
  /// for 4.5 s and a twentieth of the mean otherwise.
  int peaks = 2;
};

/// Jobs of one kind.
struct KindResult {
  int jobs = 0;
  /// Ended within the objective, which counts from the first attempt.
  int in_time = 0;
  /// Ended within three times the objective.
  int served = 0;

  KindResult& operator+=(const KindResult& other);
};

struct ReplayResult {
  KindResult all;
  /// The tenth of the jobs with the most work.
  KindResult largest_tenth;
  /// The fifth of the jobs with the most work below that tenth.
  KindResult next_fifth;
  /// By queue.
  std::vector<KindResult> queues;
  /// Rejections because of the backlog.
  int rejections = 0;
  /// Jobs of which every attempt was rejected.
  int given_up = 0;
  /// Jobs that were rejected and came back as told, and those of them that were
  /// admitted by their second attempt.
  int returned = 0;
  int admitted_on_return = 0;
  /// Jobs that were rejected although they could have been in time without any
  /// other job on the pool and the pool had no other work.
  int rejected_without_backlog = 0;
  /// Longest time to return that was told, and the least.
  std::uint32_t longest_retry_after_s = 0;
  std::uint32_t shortest_retry_after_s = 0;

  ReplayResult& operator+=(const ReplayResult& other);
};

ReplayResult Replay(const ReplayOptions& options);

}  // namespace pomelomill
