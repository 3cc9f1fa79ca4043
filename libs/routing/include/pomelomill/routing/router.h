#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "pomelomill/routing/actions.h"
#include "pomelomill/routing/admission.h"
#include "pomelomill/routing/deadline_queue.h"
#include "pomelomill/routing/endpoint_set.h"
#include "pomelomill/routing/error_budget.h"
#include "pomelomill/routing/events.h"
#include "pomelomill/routing/latency_estimate.h"
#include "pomelomill/routing/retry_budget.h"
#include "pomelomill/routing/token_bucket.h"

namespace pomelomill {

/// Identity of the entry and limits of the router.
struct RouterOptions {
  EntryId entry;
  IncarnationId incarnation;
  std::uint64_t seed = 1;
  SlotPolicy slot_policy = SlotPolicy::kShare;
  EjectionOptions ejection;
  /// Maximum number of retries as a share of first attempts.
  double retry_share = 0.1;
  /// Maximum number of hedges as a share of first attempts.
  double hedge_share = 0.02;
  /// A request with this number of attempts, hedges included, is not retried.
  std::uint32_t max_attempts = 3;
  /// Upper bound of the first backoff, which doubles with each further attempt.
  Duration initial_backoff = std::chrono::milliseconds(10);
  /// After shedding, a pool makes no retries and no hedges for this time.
  Duration retry_pause_after_shedding = std::chrono::seconds(1);
  /// An exchange is aborted only this time after the deadline, because the
  /// endpoint keeps working on an aborted request anyway.
  Duration deadline_grace = std::chrono::seconds(2);
};

/// State of one queue for monitoring.
struct QueueStatus {
  QueueId queue;
  std::size_t waiting = 0;
  /// Requests received since the entry started.
  std::uint64_t arrived = 0;
  /// Estimated mean latency of an attempt.
  Duration service_time{};
  /// Over the window of the error budget.
  RequestCounts counts;
  /// ErrorBudget::RemainingShare().
  double budget_left = 1;
};

/// Totals since the entry started.
struct RouterCounters {
  std::uint64_t arrived = 0;
  std::uint64_t answered = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t sends = 0;
  std::uint64_t retries = 0;
  std::uint64_t hedges = 0;
  /// Responses that were discarded.
  std::uint64_t dropped = 0;
};

/// Queues requests and assigns them to endpoints for one entry. A
/// deterministic state machine without sockets, threads or clocks.
class Router {
 public:
  explicit Router(RouterOptions options);

  /// Returns the actions to carry out in response to the event, in order.
  std::vector<RouterAction> Handle(const RouterEvent& event, Instant now);

  /// Returns the number of unfinished attempts to this VM, including attempts
  /// whose request has already been answered. Draining a VM waits for them.
  std::uint32_t in_flight(const VmId& vm) const;
  /// Returns the number of requests without a response.
  std::size_t open_requests() const { return requests_.size(); }
  /// Returns the number of unfinished attempts.
  std::size_t open_attempts() const { return attempts_.size(); }
  LoadReport Report(Instant now) const;
  std::vector<QueueStatus> queue_status(Instant now) const;
  const RouterCounters& counters() const { return counters_; }
  const EndpointSet& endpoints() const { return endpoints_; }

 private:
  enum class State { kWaiting, kBackoff, kInFlight };

  struct Request {
    QueueId queue;
    Instant deadline{};
    bool is_repeatable = false;
    State state = State::kWaiting;
    /// When the current state times out, see OnRequestTimer().
    Instant timer_at{};
    std::optional<Instant> hedge_at;
    std::uint32_t attempts_sent = 0;
    std::uint32_t attempts_in_flight = 0;
    /// An endpoint may have processed the request.
    bool may_have_run = false;
    OutcomeReason last_failure = OutcomeReason::kAttemptFailed;
    /// Endpoint of the latest attempt. A hedge never uses it, a retry only when
    /// no other endpoint is available.
    VmId last_vm;
  };

  struct Attempt {
    RequestId request;
    QueueId queue;
    VmId vm;
    Instant sent_at{};
  };

  struct Queue {
    QueueDeclaration declaration;
    PoolId pool;
    DeadlineQueue waiting;
    std::uint64_t arrived = 0;
    ErrorBudget budget;
    LatencyEstimate latency;
  };

  struct Pool {
    std::vector<QueueId> queues;
    RetryBudget retries;
    RetryBudget hedges;
    /// No retries and hedges before this time.
    std::optional<Instant> retries_paused_until;
  };

  enum class TimerKind { kRequest, kHedge };
  using Timer = std::tuple<Instant, TimerKind, RequestId>;

  void On(const RequestArrived& event);
  void On(const RequestCancelled& event);
  void On(const AttemptFinished& event);
  void On(const ProbeFinished& event);
  void On(const RegionStateChanged& event);
  void On(const DeclarationsChanged& event);
  void On(const PeerLoadReceived& event);
  void On(const EndpointLeaving& event);
  void On(const SendPermitChanged& event);
  void On(const SlotLoanChanged& event);
  void On(const TimerTick& event);

  /// Takes a token of the team's quota. Without one, responds to the request
  /// and returns false.
  bool ConsumeQuota(const TeamId& team, RequestId request);
  bool HasUsableEndpoint(const PoolId& pool) const;
  /// Returns whether a new request with this deadline can be served in time.
  /// Sheds waiting requests of queues with a larger remaining budget if needed.
  bool TryAdmit(Queue& queue, Instant deadline);
  Duration PredictedWait(const Queue& queue, Instant deadline) const;
  void Enqueue(RequestId id, Request& request, Queue& queue);
  /// Responds to waiting requests of queues that are no longer declared.
  void FinishUndeclared();
  /// Sends waiting requests of the pool while endpoints have free slots.
  void Dispatch(const PoolId& pool);
  void DispatchAll();
  void Send(RequestId id, Request& request, Queue& queue, const VmId& vm,
            bool is_hedge);
  void Hedge(RequestId id);
  /// Returns false, without scheduling, when the request must not be repeated,
  /// no retry is allowed now or the deadline is too close.
  bool ScheduleRetry(RequestId id, Request& request, Queue& queue,
                     const AttemptFinished& event);
  void OnRequestTimer(RequestId id);
  /// Issues the final response and removes the request.
  void Finish(RequestId id, Outcome outcome, OutcomeReason reason,
              AttemptId attempt = {}, bool is_answered_in_time = false);
  /// Ends a request without an endpoint's response. The outcome is kUnknown if
  /// an attempt may have been processed, kNotRun otherwise.
  void FinishUnanswered(RequestId id, OutcomeReason reason);
  /// FinishUnanswered() that also pauses retries and hedges of the pool.
  void Shed(RequestId id, OutcomeReason reason);
  void Remove(RequestId id);
  void SetTimer(RequestId id, Request& request, Instant at);
  bool AreRetriesPaused(const Pool& pool) const;
  /// Returns the estimated time to work off the pool's waiting requests, within
  /// the bounds of a Retry-After header.
  Duration RetryAfter(const PoolId& pool) const;
  Queue* FindQueue(const QueueId& id);
  bool HasWaiting(const Pool& pool) const;
  std::vector<QueueView> QueueViews(const Pool& pool) const;
  /// Returns this entry's share, 0 to 1, of the region-wide request rates.
  double QuotaShare() const;
  void ScheduleWakeUp();

  RouterOptions options_;
  Random random_;
  EndpointSet endpoints_;
  std::shared_ptr<const Declarations> declarations_;
  std::vector<EntryShare> shares_;
  std::map<QueueId, Queue> queues_;
  std::map<PoolId, Pool> pools_;
  std::map<TeamId, TokenBucket> quotas_;
  std::unordered_map<RequestId, Request> requests_;
  std::unordered_map<AttemptId, Attempt> attempts_;
  std::set<Timer> timers_;
  AttemptId next_attempt_{1};
  /// Expiry of the send permit; there is none until membership grants the
  /// first one.
  Instant permit_until_{};
  std::optional<Instant> wake_at_;
  RouterCounters counters_;
  /// Time of the latest event; never goes back.
  Instant now_{};
  /// Actions of the event that is being handled.
  std::vector<RouterAction> actions_;
};

}  // namespace pomelomill
