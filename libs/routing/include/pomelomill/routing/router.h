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

struct RouterOptions {
  EntryId entry;
  IncarnationId incarnation;
  std::uint64_t seed = 1;
  SlotPolicy slot_policy = SlotPolicy::kShare;
  EjectionOptions ejection;
  /// Retries as a share of fresh requests.
  double retry_share = 0.1;
  double hedge_share = 0.02;
  std::uint32_t max_attempts = 3;
  Duration initial_backoff = std::chrono::milliseconds(10);
  /// No retry and no hedge within this time after shedding.
  Duration retry_pause_after_shedding = std::chrono::seconds(1);
  /// An exchange may outlast the deadline by this time before it is broken
  /// off, because breaking it off leaves the endpoint busy all the same.
  Duration deadline_grace = std::chrono::seconds(2);
};

/// State of one queue for reports.
struct QueueStatus {
  QueueId queue;
  std::size_t waiting = 0;
  /// Requests since the start of the entry.
  std::uint64_t arrived = 0;
  /// Mean time that one attempt takes.
  Duration service_time{};
  RequestCounts counts;
  double budget_left = 1;
};

/// Totals since the start.
struct RouterCounters {
  std::uint64_t arrived = 0;
  std::uint64_t answered = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t sends = 0;
  std::uint64_t retries = 0;
  std::uint64_t hedges = 0;
  std::uint64_t dropped = 0;
};

/// Queues, admission and endpoint choice of one entry. Pure: no sockets,
/// threads or clocks. Each event returns what to do now.
class Router {
 public:
  explicit Router(RouterOptions options);

  std::vector<RouterAction> Handle(const RouterEvent& event, Instant now);

  /// Attempts to this VM that have not ended; includes those whose request
  /// has its response already. Read by drains.
  std::uint32_t in_flight(const VmId& vm) const;
  /// Requests without a response yet.
  std::size_t open_requests() const { return requests_.size(); }
  /// Attempts that have not ended.
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
    Instant timer_at{};
    std::optional<Instant> hedge_at;
    std::uint32_t attempts_sent = 0;
    std::uint32_t attempts_in_flight = 0;
    /// An endpoint may have processed the request.
    bool may_have_run = false;
    OutcomeReason last_failure = OutcomeReason::kAttemptFailed;
    /// Endpoint of the latest attempt; a retry or hedge avoids it.
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

  bool ConsumeQuota(const TeamId& team, RequestId request);
  bool HasUsableEndpoint(const PoolId& pool) const;
  /// True when the arrival may wait; sheds others for it when their queues
  /// have more budget left.
  bool TryAdmit(Queue& queue, Instant deadline);
  Duration PredictedWait(const Queue& queue, Instant deadline) const;
  void Enqueue(RequestId id, Request& request, Queue& queue);
  /// Responds to waiting requests of queues that are not declared any more.
  void FinishUndeclared();
  void Dispatch(const PoolId& pool);
  void DispatchAll();
  void Send(RequestId id, Request& request, Queue& queue, const VmId& vm,
            bool is_hedge);
  void Hedge(RequestId id);
  bool ScheduleRetry(RequestId id, Request& request, Queue& queue,
                     const AttemptFinished& event);
  void OnRequestTimer(RequestId id);
  /// Final response; removes the request.
  void Finish(RequestId id, Outcome outcome, OutcomeReason reason,
              AttemptId attempt = {}, bool is_answered_in_time = false);
  /// Not run or unknown, by what is known about the request's attempts.
  void FinishUnanswered(RequestId id, OutcomeReason reason);
  void Shed(RequestId id, OutcomeReason reason);
  void Remove(RequestId id);
  void SetTimer(RequestId id, Request& request, Instant at);
  bool AreRetriesPaused(const Pool& pool) const;
  Duration RetryAfter(const PoolId& pool) const;
  Queue* FindQueue(const QueueId& id);
  bool HasWaiting(const Pool& pool) const;
  std::vector<QueueView> QueueViews(const Pool& pool) const;
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
  /// Nothing is sent before membership has given a permit.
  Instant permit_until_{};
  std::optional<Instant> wake_at_;
  RouterCounters counters_;
  /// Valid during Handle().
  Instant now_{};
  std::vector<RouterAction> actions_;
};

}  // namespace pomelomill
