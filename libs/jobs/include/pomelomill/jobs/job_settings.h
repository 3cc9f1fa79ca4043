#pragma once

#include <cstdint>

#include "pomelomill/base/time.h"

namespace pomelomill {

struct LeaseSettings {
  /// Lease that a worker grants a task, on the worker's clock.
  Duration length = std::chrono::seconds(60);
  /// A third of the lease, so that one lost renewal does not end it.
  Duration renew_every = std::chrono::seconds(20);
  /// A call is delivered within this time after it was sent, or never.
  Duration max_delivery = std::chrono::seconds(2);
  /// Relative error of any clock; quartz clocks stay well below 1e-3.
  double max_drift = 1e-3;
  /// An unanswered renewal may have extended the lease. After this many in a
  /// row no more are sent, so that the lease can expire.
  std::uint32_t max_unknown_renewals = 2;
};

struct EvidenceSettings {
  /// Workers on which a job must fail, without success elsewhere, before the
  /// job can be blamed.
  std::uint32_t job_workers = 3;
  /// Jobs that must fail on a worker since its last success before the worker
  /// can be blamed.
  std::uint32_t worker_jobs = 3;
  /// How many of these must have succeeded on other workers.
  std::uint32_t proven_jobs = 2;
  /// Share of the workers that may be in quarantine at once; at least one.
  double max_quarantined_share = 0.1;
  /// Time from quarantine to the first probe; doubles after each failed probe.
  Duration probe_after = std::chrono::seconds(30);
  Duration max_probe_after = std::chrono::minutes(10);
  /// A job ends after this many times its `max_attempts`, whoever is blamed.
  std::uint32_t hard_attempts_factor = 2;
};

struct JobSettings {
  LeaseSettings lease;
  EvidenceSettings evidence;
  /// After a longer time without an event the clock may have jumped, and all
  /// leases are counted again. Ticks come several times a second; the time is
  /// that for the delivery of a call, which covers shorter jumps.
  Duration max_event_gap = std::chrono::seconds(2);
  /// Worker lists describe a moment at most this long ago.
  Duration max_report_lag = std::chrono::seconds(2);
  /// A checkpoint that has not ended by then becomes a stop. The urgent
  /// target of 7.9 s leaves, after this, time for the stop, one message that
  /// is lost and sent again after 1 s, the report's lag and the start.
  Duration checkpoint_limit = std::chrono::milliseconds(3500);
  /// An operation that was not answered is sent again after this time.
  Duration resend_after = std::chrono::seconds(1);
  /// A stop that was accepted is repeated at this interval; its refusal (404)
  /// is the proof that the task is gone.
  Duration stop_poll = std::chrono::milliseconds(500);
  /// A promise of room that was not kept by then is withdrawn, and the task
  /// looks for another worker.
  Duration claim_limit = std::chrono::seconds(10);
  /// Wait before a failed task is tried again; doubles with each failure.
  Duration retry_after = std::chrono::seconds(1);
  Duration max_retry_after = std::chrono::minutes(1);
  /// For this long a task avoids workers on which it failed; afterwards they
  /// are allowed again, or a job with few possible workers would wait forever.
  Duration avoid_for = std::chrono::minutes(2);
  /// A worker that does not respond is not used again for this long.
  Duration unreachable_for = std::chrono::seconds(30);
  /// Refused starts in a row after which a refusal counts as a failure. Fewer
  /// can result from the lag of the worker's own accounts.
  std::uint32_t max_refusals = 3;
  /// Share of its cores that a throttled task keeps; memory stays.
  double throttled_cores = 0.25;
  /// Share of all cores that urgent work may hold, so that normal work is
  /// never without any.
  double max_urgent_share = 0.8;
  /// A task is not preempted more often than this for urgent work, unless no
  /// other choice exists.
  std::uint32_t max_preemptions = 3;
  /// A normal task that has waited this long gets a worker held free for it.
  Duration reserve_after = std::chrono::seconds(60);
  /// Share of the workers held for waiting tasks at once; at least one.
  double max_reserved_share = 0.05;
  /// A job that fits no listed worker is reported as failed after this time;
  /// a shorter time would blame jobs for a worker list that is incomplete.
  Duration unplaceable_after = std::chrono::seconds(60);
  /// Jobs of one team that one pass looks at.
  std::uint32_t lookahead = 32;
  /// Tasks that one pass starts; the next pass continues. At five passes a
  /// second 4% of a core is 8 ms for each pass.
  std::uint32_t max_starts_per_pass = 64;
  /// Workers for which one preemption plan is worked out in full.
  std::uint32_t preemption_candidates = 64;
  /// Quota returns that one pass begins, so that a single pass stays short.
  std::uint32_t max_returns_per_pass = 8;
  /// Searches for such a return that may fail in one pass; each of them looks
  /// at all workers.
  std::uint32_t max_failed_returns_per_pass = 1;
  /// Workers that one pass chooses to hold free, for the same reason.
  std::uint32_t max_reservations_per_pass = 4;
};

}  // namespace pomelomill
