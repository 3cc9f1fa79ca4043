#include "pomelomill/routing/router.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pomelomill {
namespace {

constexpr Duration kMinRetryAfter = std::chrono::seconds(1);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(30);
// Requests that one arrival may displace; bounds the work of one event.
constexpr int kMaxShedPerArrival = 8;

/// Rounds up to whole seconds within the bounds of a Retry-After header.
Duration ClampRetryAfter(Duration d) {
  const auto s = std::chrono::ceil<std::chrono::seconds>(d);
  return std::clamp<Duration>(s, kMinRetryAfter, kMaxRetryAfter);
}

}  // namespace

Router::Router(RouterOptions options)
    : options_(std::move(options)),
      random_(options_.seed),
      endpoints_(options_.entry, options_.incarnation, options_.slot_policy,
                 options_.ejection),
      declarations_(std::make_shared<const Declarations>()) {}

std::vector<RouterAction> Router::Handle(const RouterEvent& event,
                                         Instant now) {
  now_ = std::max(now_, now);
  std::visit([this](const auto& it) { On(it); }, event);
  ScheduleWakeUp();
  return std::exchange(actions_, {});
}

void Router::On(const RequestArrived& event) {
  if (requests_.contains(event.request)) return;
  ++counters_.arrived;
  Request request;
  request.queue = event.queue;
  request.deadline = event.deadline;
  Queue* queue = FindQueue(event.queue);
  request.is_repeatable = event.is_repeatable && queue != nullptr &&
                          queue->declaration.is_repeatable;
  requests_.emplace(event.request, request);
  if (queue == nullptr) {
    return Finish(event.request, Outcome::kNotRun, OutcomeReason::kNoSuchQueue);
  }
  ++queue->arrived;
  if (!ConsumeQuota(event.team, event.request)) return;
  if (now_ >= permit_until_) {
    return Finish(event.request, Outcome::kNotRun,
                  OutcomeReason::kNoSendPermit);
  }
  if (!HasUsableEndpoint(queue->pool)) {
    return Finish(event.request, Outcome::kNotRun, OutcomeReason::kNoEndpoint);
  }
  Pool& pool = pools_.at(queue->pool);
  pool.retries.OnFreshRequest();
  pool.hedges.OnFreshRequest();
  queue->latency.DecayToPrior(now_);
  if (queue->waiting.size() >= queue->waiting.capacity()) {
    return Shed(event.request, OutcomeReason::kQueueFull);
  }
  if (!TryAdmit(*queue, event.deadline)) {
    return Shed(event.request, OutcomeReason::kWouldMissDeadline);
  }
  Enqueue(event.request, requests_.at(event.request), *queue);
  Dispatch(queue->pool);
}

void Router::On(const RequestCancelled& event) {
  if (!requests_.contains(event.request)) return;
  ++counters_.cancelled;
  // Attempts in flight keep their slots until they end, because the endpoint
  // keeps working on them.
  Remove(event.request);
}

void Router::On(const AttemptFinished& event) {
  const auto found = attempts_.find(event.attempt);
  if (found == attempts_.end()) return;
  const Attempt attempt = std::move(found->second);
  attempts_.erase(found);
  Queue* queue = FindQueue(attempt.queue);
  const Duration latency = now_ - attempt.sent_at;
  double relative = 1;
  if (queue != nullptr) {
    relative =
        ToSeconds(latency) / std::max(1e-6, ToSeconds(queue->latency.mean()));
    if (event.result == AttemptResult::kAnswered) {
      queue->latency.Record(latency, now_);
    }
  }
  endpoints_.OnFinished(attempt.vm, event.result, relative, now_);

  const auto open = requests_.find(attempt.request);
  if (open == requests_.end()) {
    ++counters_.dropped;
    actions_.emplace_back(DropResponse{event.attempt});
  } else {
    Request& request = open->second;
    --request.attempts_in_flight;
    const bool is_complete = event.result == AttemptResult::kAnswered ||
                             event.result == AttemptResult::kAnsweredWithError;
    if (is_complete) {
      Finish(
          attempt.request, Outcome::kAnswered, OutcomeReason::kComplete,
          event.attempt,
          event.result == AttemptResult::kAnswered && now_ <= request.deadline);
    } else {
      if (event.result == AttemptResult::kFailed && event.was_any_byte_sent) {
        request.may_have_run = true;
      }
      request.last_failure = event.result == AttemptResult::kRefused
                                 ? OutcomeReason::kRefused
                                 : OutcomeReason::kAttemptFailed;
      if (request.attempts_in_flight == 0 &&
          (queue == nullptr ||
           !ScheduleRetry(attempt.request, request, *queue, event))) {
        FinishUnanswered(attempt.request, request.last_failure);
      }
    }
  }
  if (queue != nullptr) Dispatch(queue->pool);
  // The VM may have moved to another pool while the attempt was in flight.
  const PoolId* pool = endpoints_.pool_of(attempt.vm);
  if (pool != nullptr && (queue == nullptr || *pool != queue->pool)) {
    Dispatch(*pool);
  }
}

bool Router::ScheduleRetry(RequestId id, Request& request, Queue& queue,
                           const AttemptFinished& event) {
  // Although a refusal proves that the request was not run, a request that is
  // not repeatable is never sent again once bytes of it were sent.
  if (!request.is_repeatable &&
      (event.was_any_byte_sent || event.result == AttemptResult::kRefused)) {
    return false;
  }
  Pool& pool = pools_.at(queue.pool);
  if (request.attempts_sent >= options_.max_attempts || AreRetriesPaused(pool))
    return false;
  const auto longest = static_cast<double>(
      (options_.initial_backoff * (1LL << (request.attempts_sent - 1)))
          .count());
  const Instant at =
      now_ + Duration(static_cast<std::int64_t>(random_.Unit() * longest));
  if (at + queue.latency.p95() >= request.deadline) return false;
  if (!pool.retries.Take()) return false;
  request.state = State::kBackoff;
  SetTimer(id, request, at);
  return true;
}

void Router::On(const ProbeFinished& event) {
  endpoints_.OnProbe(event, now_);
  DispatchAll();
}

void Router::On(const PeerLoadReceived& event) {
  endpoints_.OnPeerReport(event.report, now_);
  DispatchAll();
}

void Router::On(const EndpointLeaving& event) {
  endpoints_.OnLeaving(event.vm, event.generation);
}

void Router::On(const SendPermitChanged& event) {
  permit_until_ = event.valid_until;
  DispatchAll();
}

void Router::On(const SlotLoanChanged& event) {
  endpoints_.OnLoan(event);
  DispatchAll();
}

void Router::On(const TimerTick& /*event*/) {
  while (!timers_.empty() && std::get<Instant>(*timers_.begin()) <= now_) {
    const Timer timer = *timers_.begin();
    timers_.erase(timers_.begin());
    const RequestId id = std::get<RequestId>(timer);
    if (std::get<TimerKind>(timer) == TimerKind::kHedge) {
      requests_.at(id).hedge_at.reset();
      Hedge(id);
    } else {
      OnRequestTimer(id);
    }
  }
  for (const VmId& vm : endpoints_.TakeDueProbes(now_)) {
    actions_.emplace_back(ProbeEndpoint{vm, endpoints_.AddressOf(vm)});
  }
  DispatchAll();
}

void Router::OnRequestTimer(RequestId id) {
  Request& request = requests_.at(id);
  switch (request.state) {
    case State::kWaiting:
      return Shed(id, OutcomeReason::kWouldMissDeadline);
    case State::kInFlight:
      request.may_have_run = true;
      return FinishUnanswered(id, OutcomeReason::kDeadlinePassed);
    case State::kBackoff: {
      Queue* queue = FindQueue(request.queue);
      if (queue == nullptr || AreRetriesPaused(pools_.at(queue->pool)) ||
          queue->waiting.size() >= queue->waiting.capacity()) {
        return FinishUnanswered(id, request.last_failure);
      }
      return Enqueue(id, request, *queue);
    }
  }
}

bool Router::ConsumeQuota(const TeamId& team, RequestId request) {
  const auto quota = quotas_.find(team);
  if (quota == quotas_.end() || quota->second.Take(now_)) return true;
  const Duration wait = quota->second.TimeUntilToken(now_);
  Remove(request);
  ++counters_.not_run;
  // A request beyond the team's quota does not count against the queue's error
  // budget.
  actions_.emplace_back(Respond{.request = request,
                                .outcome = Outcome::kNotRun,
                                .reason = OutcomeReason::kQuota,
                                .attempt = {},
                                .retry_after = ClampRetryAfter(wait)});
  return false;
}

bool Router::HasUsableEndpoint(const PoolId& pool) const {
  return endpoints_.UsableSlots(pool, now_) > 0;
}

Duration Router::PredictedWait(const Queue& queue, Instant deadline) const {
  const std::uint32_t slots = endpoints_.UsableSlots(queue.pool, now_);
  double work = 0;
  for (const QueueId& id : pools_.at(queue.pool).queues) {
    const Queue& it = queues_.at(id);
    work += static_cast<double>(it.waiting.CountUpTo(deadline)) *
            ToSeconds(it.latency.mean());
  }
  return Duration(static_cast<std::int64_t>(work / std::max(1U, slots) * 1e9));
}

bool Router::TryAdmit(Queue& queue, Instant deadline) {
  for (int i = 0; i <= kMaxShedPerArrival; ++i) {
    if (now_ + PredictedWait(queue, deadline) + queue.latency.p95() <
        deadline) {
      return true;
    }
    if (now_ + queue.latency.p95() >= deadline || i == kMaxShedPerArrival)
      break;
    const Pool& pool = pools_.at(queue.pool);
    std::vector<QueueView> views = QueueViews(pool);
    std::size_t own = 0;
    for (std::size_t n = 0; n < views.size(); ++n) {
      Queue& it = queues_.at(pool.queues[n]);
      views[n].waiting = it.waiting.CountUpTo(deadline);
      if (&it == &queue) {
        own = n;
        ++views[n].waiting;
      }
    }
    const auto victim = ChooseQueueToShed(views);
    if (!victim || *victim == own ||
        views[*victim].budget_left <= views[own].budget_left) {
      break;
    }
    const auto last =
        queues_.at(pool.queues[*victim]).waiting.LastUpTo(deadline);
    if (!last) break;
    Shed(*last, OutcomeReason::kWouldMissDeadline);
  }
  return false;
}

void Router::Enqueue(RequestId id, Request& request, Queue& queue) {
  request.state = State::kWaiting;
  queue.waiting.Push(id, request.deadline);
  // The request is shed unless the p95 latency still fits before the deadline.
  // With only the mean latency left, many attempts would miss the deadline,
  // ending with an unknown outcome and wasting a slot.
  SetTimer(id, request, request.deadline - queue.latency.p95());
}

void Router::DispatchAll() {
  for (const auto& [id, pool] : pools_) Dispatch(id);
}

void Router::Dispatch(const PoolId& pool_id) {
  const auto found = pools_.find(pool_id);
  if (found == pools_.end()) return;
  const Pool& pool = found->second;
  while (HasWaiting(pool)) {
    const auto chosen = ChooseQueueToServe(QueueViews(pool), now_);
    if (!chosen) return;
    Queue& queue = queues_.at(pool.queues[*chosen]);
    const RequestId id = *queue.waiting.Front();
    Request& request = requests_.at(id);
    if (now_ >= permit_until_) {
      FinishUnanswered(id, OutcomeReason::kNoSendPermit);
      continue;
    }
    if (!HasUsableEndpoint(pool_id)) {
      FinishUnanswered(id, OutcomeReason::kNoEndpoint);
      continue;
    }
    if (request.timer_at <= now_) {
      Shed(id, OutcomeReason::kWouldMissDeadline);
      continue;
    }
    std::vector<Candidate> candidates = endpoints_.Candidates(pool_id, now_);
    if (request.attempts_sent > 0 && candidates.size() > 1) {
      std::erase_if(candidates, [&](const Candidate& it) {
        return endpoints_.VmAt(pool_id, it.index) == request.last_vm;
      });
    }
    const auto best = ChooseEndpoint(candidates, random_);
    if (!best) return;
    queue.waiting.Erase(id, request.deadline);
    Send(id, request, queue, endpoints_.VmAt(pool_id, candidates[*best].index),
         false);
  }
}

void Router::Send(RequestId id, Request& request, Queue& queue, const VmId& vm,
                  bool is_hedge) {
  const AttemptId attempt = next_attempt_;
  next_attempt_ = next_attempt_.Next();
  attempts_.emplace(
      attempt,
      Attempt{
          .request = id, .queue = request.queue, .vm = vm, .sent_at = now_});
  endpoints_.OnSent(vm);
  ++counters_.sends;
  if (is_hedge) {
    ++counters_.hedges;
  } else if (request.attempts_sent > 0) {
    ++counters_.retries;
  }
  ++request.attempts_sent;
  ++request.attempts_in_flight;
  request.last_vm = vm;
  request.state = State::kInFlight;
  SetTimer(id, request, request.deadline);
  const Instant hedge_at = now_ + queue.latency.p95();
  if (request.is_repeatable && request.attempts_sent == 1 &&
      hedge_at + queue.latency.p95() < request.deadline) {
    request.hedge_at = hedge_at;
    timers_.emplace(hedge_at, TimerKind::kHedge, id);
  }
  actions_.emplace_back(
      SendAttempt{.attempt = attempt,
                  .request = id,
                  .vm = vm,
                  .address = endpoints_.AddressOf(vm),
                  .deadline = request.deadline,
                  .abort_at = request.deadline + options_.deadline_grace,
                  .needs_fresh_connection = !request.is_repeatable,
                  .is_hedge = is_hedge});
}

void Router::Hedge(RequestId id) {
  Request& request = requests_.at(id);
  if (request.state != State::kInFlight || request.attempts_in_flight != 1)
    return;
  Queue* queue = FindQueue(request.queue);
  if (queue == nullptr || now_ >= permit_until_) return;
  Pool& pool = pools_.at(queue->pool);
  if (AreRetriesPaused(pool)) return;
  if (HasWaiting(pool)) return;
  std::vector<Candidate> candidates = endpoints_.Candidates(queue->pool, now_);
  std::erase_if(candidates, [&](const Candidate& it) {
    return endpoints_.VmAt(queue->pool, it.index) == request.last_vm;
  });
  const auto best = ChooseEndpoint(candidates, random_);
  if (!best || !pool.hedges.Take()) return;
  Send(id, request, *queue,
       endpoints_.VmAt(queue->pool, candidates[*best].index), true);
}

void Router::Shed(RequestId id, OutcomeReason reason) {
  const auto queue = queues_.find(requests_.at(id).queue);
  if (queue != queues_.end()) {
    pools_.at(queue->second.pool).retries_paused_until =
        now_ + options_.retry_pause_after_shedding;
  }
  FinishUnanswered(id, reason);
}

void Router::FinishUnanswered(RequestId id, OutcomeReason reason) {
  const bool may_have_run = requests_.at(id).may_have_run;
  Finish(id, may_have_run ? Outcome::kUnknown : Outcome::kNotRun, reason);
}

void Router::Finish(RequestId id, Outcome outcome, OutcomeReason reason,
                    AttemptId attempt, bool is_answered_in_time) {
  Queue* queue = FindQueue(requests_.at(id).queue);
  Respond respond{.request = id,
                  .outcome = outcome,
                  .reason = reason,
                  .attempt = attempt,
                  .retry_after = {}};
  if (outcome == Outcome::kNotRun) {
    respond.retry_after =
        queue == nullptr ? kMinRetryAfter : RetryAfter(queue->pool);
    ++counters_.not_run;
  } else if (outcome == Outcome::kAnswered) {
    ++counters_.answered;
  } else {
    ++counters_.unknown;
  }
  if (queue != nullptr) queue->budget.Record(is_answered_in_time, now_);
  Remove(id);
  actions_.emplace_back(respond);
}

void Router::Remove(RequestId id) {
  const auto found = requests_.find(id);
  Request& request = found->second;
  if (request.state == State::kWaiting) {
    Queue* queue = FindQueue(request.queue);
    if (queue != nullptr) queue->waiting.Erase(id, request.deadline);
  }
  timers_.erase({request.timer_at, TimerKind::kRequest, id});
  if (request.hedge_at) {
    timers_.erase({*request.hedge_at, TimerKind::kHedge, id});
  }
  requests_.erase(found);
}

void Router::SetTimer(RequestId id, Request& request, Instant at) {
  timers_.erase({request.timer_at, TimerKind::kRequest, id});
  request.timer_at = at;
  timers_.emplace(at, TimerKind::kRequest, id);
}

bool Router::AreRetriesPaused(const Pool& pool) const {
  return pool.retries_paused_until && now_ < *pool.retries_paused_until;
}

Duration Router::RetryAfter(const PoolId& pool) const {
  const auto found = pools_.find(pool);
  if (found == pools_.end()) return kMinRetryAfter;
  double work = 0;
  for (const QueueId& id : found->second.queues) {
    const Queue& it = queues_.at(id);
    work +=
        static_cast<double>(it.waiting.size()) * ToSeconds(it.latency.mean());
  }
  const std::uint32_t slots = endpoints_.UsableSlots(pool, now_);
  return ClampRetryAfter(
      Duration(static_cast<std::int64_t>(work / std::max(1U, slots) * 1e9)));
}

Router::Queue* Router::FindQueue(const QueueId& id) {
  const auto it = queues_.find(id);
  return it == queues_.end() ? nullptr : &it->second;
}

bool Router::HasWaiting(const Pool& pool) const {
  return std::any_of(
      pool.queues.begin(), pool.queues.end(),
      [this](const QueueId& id) { return !queues_.at(id).waiting.empty(); });
}

std::vector<QueueView> Router::QueueViews(const Pool& pool) const {
  std::vector<QueueView> views;
  views.reserve(pool.queues.size());
  for (const QueueId& id : pool.queues) {
    const Queue& it = queues_.at(id);
    QueueView view;
    view.waiting = it.waiting.size();
    if (view.waiting > 0) view.front_deadline = it.waiting.front_deadline();
    view.budget_left = it.budget.RemainingShare(now_);
    views.push_back(view);
  }
  return views;
}

std::uint32_t Router::in_flight(const VmId& vm) const {
  return endpoints_.in_flight(vm);
}

LoadReport Router::Report(Instant now) const {
  LoadReport report;
  endpoints_.FillReport(report, now);
  for (const auto& [id, queue] : queues_) {
    report.pools[queue.pool].queued +=
        static_cast<std::uint32_t>(queue.waiting.size());
  }
  return report;
}

std::vector<QueueStatus> Router::queue_status(Instant now) const {
  std::vector<QueueStatus> status;
  for (const auto& [id, queue] : queues_) {
    status.push_back({.queue = id,
                      .waiting = queue.waiting.size(),
                      .arrived = queue.arrived,
                      .service_time = queue.latency.mean(),
                      .counts = queue.budget.Counts(now),
                      .budget_left = queue.budget.RemainingShare(now)});
  }
  return status;
}

void Router::ScheduleWakeUp() {
  Instant next = endpoints_.next_due(now_);
  if (!timers_.empty()) {
    next = std::min(next, std::get<Instant>(*timers_.begin()));
  }
  // A pending wake-up before `next` is kept; it causes one unneeded tick.
  if (wake_at_ && *wake_at_ > now_ && *wake_at_ <= next) return;
  if (next == Instant::max()) {
    wake_at_.reset();
    return;
  }
  wake_at_ = next;
  actions_.emplace_back(WakeAt{next});
}

}  // namespace pomelomill
