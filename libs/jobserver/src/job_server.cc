#include "pomelomill/jobserver/job_server.h"

#include <asio/io_context.hpp>
#include <optional>
#include <utility>

#include "caller_access.h"
#include "job_acceptor.h"
#include "job_lookup.h"
#include "job_metrics.h"
#include "loop_monitor.h"
#include "pomelomill/base/hash.h"
#include "pomelomill/http/http_listener.h"
#include "pomelomill/http/persistent_http_client.h"
#include "pomelomill/jobserver/coordinator.h"
#include "pomelomill/jobserver/job_api_router.h"
#include "pomelomill/store/store_error.h"
#include "store_keys.h"
#include "submission_gate.h"

namespace pomelomill {
namespace {

constexpr Duration kStoreTimeout = std::chrono::milliseconds(900);
/// Value of the Retry-After header, in seconds: the usual step of a store
/// outage.
constexpr const char* kRetryAfterSeconds = "1";
/// Upper limit of the HTTP listeners; the configuration may set a lower one.
constexpr std::size_t kMaxRequestBodyBytes = std::size_t{512} << 10;
/// An entry without contact to the store for this long reports not ready, so
/// that the load balancer sends callers to other entries.
constexpr Duration kMaxStoreContactAge = std::chrono::seconds(4);
/// Part of the stop grace that is kept for the exit of the process.
constexpr Duration kStopMargin = std::chrono::milliseconds(800);
/// A decision that blocks the event loop for this long is logged: a tenth of
/// kStoreTimeout.
constexpr Duration kSlowDecisionThreshold = std::chrono::milliseconds(90);
constexpr Duration kStopPollInterval = std::chrono::milliseconds(50);
/// Callers send requests on open connections until these are closed; the server
/// counts as idle after this long without a request.
constexpr Duration kIdleBeforeStop = std::chrono::milliseconds(1500);
/// Each other entry keeps a few connections to the peer listener; the load
/// balancer and the collector of metrics need few.
constexpr std::size_t kMaxPeerConnections = 512;
constexpr std::size_t kMaxOperationsConnections = 128;
/// Calls on the listeners of peers, readiness and metrics have no bodies, and
/// their responses are of 64 KB at most.
constexpr std::size_t kMaxOperationsBodyBytes = std::size_t{4} << 10;
constexpr std::size_t kOperationsMemoryBytes = std::size_t{8} << 20;
constexpr std::size_t kBytesOfMb = std::size_t{1} << 20;
/// At most one line in this time: clients that crowd an entry must not fill the
/// log.
constexpr Duration kDroppedRequestLogInterval = std::chrono::seconds(1);

std::string Host(const std::string& address) {
  return address.substr(0, address.rfind(':'));
}

std::uint16_t Port(const std::string& address) {
  return static_cast<std::uint16_t>(
      std::stoul(address.substr(address.rfind(':') + 1)));
}

}  // namespace

class JobServer::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& context, TimerService& timers,
       PersistentHttpClient& http, const PlatformHooks& platform,
       JobServiceSettings settings, IncarnationId incarnation,
       JobServerHooks hooks)
      : context_(context),
        timers_(timers),
        platform_(WithMetrics(platform)),
        settings_(std::move(settings)),
        incarnation_(std::move(incarnation)),
        hooks_(std::move(hooks)),
        request_memory_(std::make_shared<MemoryBudget>(
            settings_.request_memory_mb() * kBytesOfMb)),
        operations_memory_(
            std::make_shared<MemoryBudget>(kOperationsMemoryBytes)),
        acceptor_(
            platform_.store, timers_,
            {.on_store_availability =
                 [this](bool is_up) {
                   Event(
                       "accept", is_up ? "store-regained" : "store-lost",
                       {{"waiting", std::to_string(acceptor_.pending_jobs())}});
                 }}),
        coordinator_(
            platform_, timers_, settings_, incarnation_,
            {.wall_ms = hooks_.wall_ms,
             .event =
                 [this](std::string_view part, std::string_view event,
                        std::vector<EventField> fields) {
                   Event(part, event, std::move(fields));
                 },
             .on_job_time =
                 [this](DispatchTiming kind, const QueueId& queue,
                        Duration took) {
                   metrics_.ObserveJobTime(kind, queue, took);
                 },
             .on_decision =
                 [this](std::string_view decision, std::size_t items,
                        Duration took) { OnDecision(decision, items, took); },
             .publishes_backlogs = hooks_.rejects_overload,
             .on_share =
                 [this](const PoolId& pool, const WorkspaceId& workspace,
                        const ResourceAmount& share) {
                   metrics_.SetWorkspaceShare(pool, workspace, share);
                 },
             .query_peer =
                 [&http](const std::string& address, const std::string& path,
                         auto done) {
                   QueryPeer(http, address, path, std::move(done));
                 }}),
        lookup_(platform_.store, http, coordinator_.view(), MakeLocalPools()),
        gate_(timers_, StableHash(incarnation_.value()), MakeGateHooks()),
        loop_monitor_(
            timers_,
            {.on_sample =
                 [this](Duration it) { metrics_.ObserveLoopDelay(it); },
             .event =
                 [this](std::string_view part, std::string_view event,
                        std::vector<EventField> fields) {
                   Event(part, event, std::move(fields));
                 }}) {}

  Status Start() {
    caller_listener_ =
        MakeListener(settings_.caller_address, settings_.requests.connections,
                     [this](auto request, auto respond) {
                       OnCallerRequest(std::move(request), std::move(respond));
                     });
    ready_listener_ =
        MakeListener(settings_.ready_address, kMaxOperationsConnections,
                     [this](auto, auto respond) {
                       respond({.status = IsReady() ? 200 : 503});
                     });
    peer_listener_ = MakeListener(
        settings_.peer_address, kMaxPeerConnections,
        [this](auto request, auto respond) {
          PeerResponse answer =
              AnswerPeerQuery(MakeLocalPools(), request.target);
          respond({.status = answer.status, .body = std::move(answer.body)});
        });
    if (!settings_.metrics_address.empty()) {
      metrics_listener_ = MakeListener(
          settings_.metrics_address, kMaxOperationsConnections,
          [this](auto, auto respond) {
            metrics_.SetOwnedPools(coordinator_.owned_pools());
            SetBacklogMetrics();
            metrics_.SetRequestMemory(request_memory_->held());
            respond({.headers = {{"Content-Type", "text/plain; version=0.0.4"}},
                     .body = metrics_.Text()});
          });
    }
    for (HttpListener* it : {caller_listener_.get(), ready_listener_.get(),
                             peer_listener_.get(), metrics_listener_.get()}) {
      if (it == nullptr) continue;
      if (const Status status = it->Start(); !status) return status;
    }
    Event("server", "started",
          {{"entry", settings_.entry.value()},
           {"incarnation", incarnation_.value()},
           {"callers", settings_.caller_address}});
    coordinator_.Start();
    loop_monitor_.Start();
    return {};
  }

  void Stop() {
    if (is_stopping_) return;
    is_stopping_ = true;
    stop_deadline_ = timers_.Now() + settings_.stop_grace - kStopMargin;
    Event("server", "stopping",
          {{"pools", std::to_string(coordinator_.owned_pools())},
           {"open", std::to_string(open_requests_)}});
    coordinator_.Leave();
    WaitForIdle();
  }

  void Halt() {
    is_halted_ = true;
    hooks_ = {};
  }

 private:
  PlatformHooks WithMetrics(PlatformHooks hooks) {
    hooks.store =
        InstrumentStoreClient(std::move(hooks.store), timers_, metrics_);
    return hooks;
  }

  void Event(std::string_view part, std::string_view event,
             std::vector<EventField> fields) {
    metrics_.CountEvent(part, event);
    if (hooks_.event) hooks_.event(part, event, std::move(fields));
  }

  void OnDecision(std::string_view decision, std::size_t items, Duration took) {
    metrics_.ObserveDecision(decision, took);
    if (took < kSlowDecisionThreshold) return;
    Event("process", "slow-decision",
          {{"decision", std::string(decision)},
           {"items", std::to_string(items)},
           {"ms", std::to_string(ToMillis(took))}});
  }

  template <typename Handler>
  std::unique_ptr<HttpListener> MakeListener(const std::string& address,
                                             std::size_t max_connections,
                                             Handler handler) {
    const bool is_for_callers = address == settings_.caller_address;
    HttpListenerOptions options;
    options.address = Host(address);
    options.port = Port(address);
    options.max_connections = max_connections;
    options.displaces_connections = true;
    options.max_body_bytes =
        is_for_callers ? kMaxRequestBodyBytes : kMaxOperationsBodyBytes;
    // Callers must not keep checks of readiness or calls of peers out.
    options.memory_budget =
        is_for_callers ? request_memory_ : operations_memory_;
    options.message_timeout = std::chrono::seconds(15);
    return std::make_unique<HttpListener>(
        context_, options,
        HttpListenerHooks{
            .on_request = handler,
            .on_dropped = [this](std::string_view reason, std::size_t bytes) {
              OnRequestDropped(reason, bytes);
            }});
  }

  void OnRequestDropped(std::string_view reason, std::size_t bytes) {
    metrics_.CountDroppedRequest(reason);
    ++dropped_since_log_;
    const Instant now = timers_.Now();
    if (last_dropped_log_ &&
        now - *last_dropped_log_ < kDroppedRequestLogInterval)
      return;
    last_dropped_log_ = now;
    Event("front", "request-dropped",
          {{"reason", std::string(reason)},
           {"bytes", std::to_string(bytes)},
           {"dropped", std::to_string(std::exchange(dropped_since_log_, 0))},
           {"held", std::to_string(request_memory_->held())}});
  }

  LocalPools MakeLocalPools() {
    return {.job_phase =
                [this](const PoolId& pool, const JobId& job) {
                  return coordinator_.FindJobPhase(pool, job);
                },
            .waiting_jobs =
                [this](const PoolId& pool, const QueueId& queue) {
                  return coordinator_.FindWaitingJobs(pool, queue);
                },
            .pool_load =
                [this](const PoolId& pool) {
                  return coordinator_.FindPoolLoad(pool);
                }};
  }

  bool IsReady() const {
    if (is_stopping_ || coordinator_.config() == nullptr) return false;
    const auto contact = coordinator_.last_store_contact();
    return contact && timers_.Now() - *contact < kMaxStoreContactAge;
  }

  /// Sends the response to a request and logs the reason.
  using ReplyHook =
      std::function<void(OutgoingResponse, std::string_view reason)>;

  /// Counts the request as open until the returned hook is called, which
  /// records it in the metrics and the log.
  ReplyHook TrackRequest(const IncomingRequest& request,
                         const JobApiRoute& route, const WorkspaceId& workspace,
                         RespondHook respond) {
    ++open_requests_;
    last_request_at_ = timers_.Now();
    const JobApiRequest& api_request = route.request;
    const std::string queue =
        api_request.queue == nullptr ? "" : api_request.queue->id.value();
    return [weak = weak_from_this(), respond = std::move(respond), queue,
            method = request.method, target = request.target, workspace,
            job = api_request.job, revision = ConfigRevision(),
            began = timers_.Now()](OutgoingResponse response,
                                   std::string_view reason) {
      const auto self = weak.lock();
      if (self == nullptr || self->is_halted_) return;
      --self->open_requests_;
      const Duration took = self->timers_.Now() - began;
      self->metrics_.ObserveRequest(queue, method, response.status, took);
      if (!workspace.empty())
        self->metrics_.CountWorkspaceRequest(workspace, response.status);
      self->Event("front", "answer",
                  {{"job", job.value()},
                   {"method", method},
                   {"target", target},
                   {"queue", queue},
                   {"workspace", workspace.value()},
                   {"config", revision},
                   {"status", std::to_string(response.status)},
                   {"reason", std::string(reason)},
                   {"ms", std::to_string(ToMillis(took))}});
      if (self->is_stopping_) response.closes_connection = true;
      respond(std::move(response));
    };
  }

  std::string ConfigRevision() const {
    const FleetConfig* const config = coordinator_.config();
    return config == nullptr ? "none"
                             : std::to_string(config->revision.value());
  }

  /// An error response with a Retry-After header.
  static OutgoingResponse RetryableError(
      int status, std::string seconds = kRetryAfterSeconds) {
    return {.status = status, .headers = {{"Retry-After", std::move(seconds)}}};
  }

  SubmissionGateHooks MakeGateHooks() {
    return {
        .may_become_stored =
            [this](const JobId& it) { return acceptor_.MayBecomeStored(it); },
        .find_location =
            [this](const JobId& job, auto done) {
              lookup_.FindLocation(job, std::move(done));
            },
        .find_backlog =
            [this](const PoolId& it) { return coordinator_.FindBacklog(it); },
        .count_entries =
            [this] { return coordinator_.view().members().size(); }};
  }

  void SetBacklogMetrics() {
    if (coordinator_.config() == nullptr) return;
    for (const PoolConfig& it : coordinator_.config()->pools) {
      const PoolBacklog* const backlog = coordinator_.FindBacklog(it.id);
      metrics_.SetBacklog(it.id.value(), backlog == nullptr
                                             ? Duration(0)
                                             : backlog->DrainTime());
    }
  }

  static OutgoingResponse JsonResponse(std::string body) {
    return {.headers = {{"Content-Type", "application/json"}},
            .body = std::move(body)};
  }

  void OnCallerRequest(const IncomingRequest& request, RespondHook respond) {
    const FleetConfig* const config = coordinator_.config();
    JobApiRoute route{.status = 503};
    if (config != nullptr) {
      route = RouteJobApiRequest(*config, request.method,
                                 request.header("Host"), request.target);
    }
    std::optional<WorkspaceId> workspace = WorkspaceId();
    if (route.request.queue != nullptr) {
      workspace = FindCaller(*config, *route.request.queue,
                             request.header("Authorization"));
    }
    const ReplyHook reply = TrackRequest(
        request, route, workspace.value_or(WorkspaceId()), std::move(respond));
    if (config == nullptr)
      return reply(RetryableError(503), "no configuration yet");
    if (!workspace) {
      return reply({.status = 401, .headers = {{"WWW-Authenticate", "Bearer"}}},
                   "no key, or a key that the configuration does not have");
    }
    if (route.status != 200)
      return reply({.status = route.status},
                   "no matching queue, unsupported method or malformed job id");
    switch (route.request.kind) {
      case JobApiRequest::Kind::kSubmit:
        return SubmitJob(route.request, *workspace, request, reply);
      case JobApiRequest::Kind::kGetState:
        return GetJobState(route.request, reply);
      case JobApiRequest::Kind::kCancel:
        return CancelJob(route.request, reply);
      case JobApiRequest::Kind::kGetWaitingCount:
        return GetWaitingCount(route.request, reply);
    }
  }

  void SubmitJob(const JobApiRequest& api_request, const WorkspaceId& workspace,
                 const IncomingRequest& request, const ReplyHook& reply) {
    if (request.body.size() > coordinator_.config()->max_body_bytes)
      return reply({.status = 413}, "body exceeds the configured maximum size");
    auto spec = platform_.decode_job(request.body);
    if (!spec || !CheckJob(*spec))
      return reply({.status = 400}, "malformed or invalid job");
    const auto stored = std::make_shared<StoredJob>(
        StoredJob{.queue = api_request.queue->id,
                  .spec = *std::move(spec),
                  .workspace = workspace,
                  .terms = QueueTerms{api_request.queue->policy,
                                      coordinator_.config()->revision}});
    gate_.Decide(
        api_request.job, *api_request.queue, stored->spec,
        [this, reply, stored, job = api_request.job,
         pool = api_request.queue->pool](std::optional<Rejection> rejection) {
          if (!rejection) return StoreJob(job, pool, *stored, reply);
          metrics_.ObserveRejection(
              stored->queue.value(), ToText(rejection->reason),
              std::chrono::seconds(rejection->retry_after_s));
          const std::string seconds = std::to_string(rejection->retry_after_s);
          reply(RetryableError(503, seconds),
                "pool overloaded: " + std::string(ToText(rejection->reason)) +
                    ", retry after " + seconds + " s");
        });
  }

  void StoreJob(const JobId& id, const PoolId& pool, const StoredJob& stored,
                const ReplyHook& reply) {
    gate_.OnSubmitted(id);
    acceptor_.Submit(
        id, {pool, stored.queue}, EncodeStoredJob(stored),
        [this, reply, id](AcceptOutcome outcome, const JobLocation& location) {
          gate_.OnAnswered(id);
          if (outcome == AcceptOutcome::kRefused)
            return reply(
                RetryableError(503),
                "job not stored: the store rejected the commit or is down");
          if (outcome == AcceptOutcome::kUnknown)
            return reply(
                RetryableError(504),
                "outcome unknown: the store did not confirm the commit");
          lookup_.CacheLocation(id, location);
          reply(JsonResponse("{}"), "stored");
        });
  }

  void GetJobState(const JobApiRequest& api_request, const ReplyHook& reply) {
    lookup_.FindPhase(
        api_request.job, {api_request.queue->pool, api_request.queue->id},
        [this, reply,
         job = api_request.job](const Result<std::optional<JobPhase>>& phase) {
          if (!phase)
            return reply(RetryableError(503), phase.error().message());
          if (!*phase) return ReplyNotStored(job, reply);
          reply(JsonResponse(platform_.encode_phase(**phase)), ToText(**phase));
        });
  }

  /// Answers a request for a job that the store does not have.
  void ReplyNotStored(const JobId& job, const ReplyHook& reply) {
    if (acceptor_.MayBecomeStored(job)) {
      return reply(RetryableError(503),
                   "not stored, but a commit of the job has no answer yet");
    }
    reply({.status = 410}, "no such job");
  }

  void GetWaitingCount(const JobApiRequest& api_request,
                       const ReplyHook& reply) {
    lookup_.FindWaitingJobs(
        api_request.queue->pool, api_request.queue->id,
        [this, reply](const Result<std::uint32_t>& waiting) {
          if (!waiting)
            return reply(RetryableError(503), "no owner of the pool answered");
          reply(JsonResponse(platform_.encode_waiting(*waiting)),
                std::to_string(*waiting));
        });
  }

  void CancelJob(const JobApiRequest& api_request, const ReplyHook& reply) {
    lookup_.FindLocation(
        api_request.job,
        [this, reply, job = api_request.job](
            const Result<std::optional<JobLocation>>& location) {
          if (!location)
            return reply(RetryableError(503), location.error().message());
          if (!*location) return ReplyNotStored(job, reply);
          Transaction transaction;
          transaction.writes = {{CancelKey((*location)->pool, job), "1", {}}};
          platform_.store.commit(std::move(transaction), kStoreTimeout,
                                 [reply](const Result<CommitResult>& result) {
                                   // Cancellation is idempotent, so the caller
                                   // may retry after any error.
                                   if (!result)
                                     return reply(RetryableError(504),
                                                  result.error().message());
                                   reply({.status = 200}, "stored");
                                 });
        });
  }

  void WaitForIdle() {
    const bool is_idle = coordinator_.has_released_pools() &&
                         open_requests_ == 0 &&
                         timers_.Now() - last_request_at_ > kIdleBeforeStop;
    if (is_idle || timers_.Now() >= stop_deadline_) {
      Event("server", "stopped", {{"open", std::to_string(open_requests_)}});
      if (hooks_.on_stopped) hooks_.on_stopped();
      return;
    }
    timers_.ScheduleAfter(kStopPollInterval, [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (self != nullptr && !self->is_halted_) self->WaitForIdle();
    });
  }

  asio::io_context& context_;
  TimerService& timers_;
  /// Declared before the members that refer to it.
  JobMetrics metrics_;
  const PlatformHooks platform_;
  const JobServiceSettings settings_;
  const IncarnationId incarnation_;
  JobServerHooks hooks_;
  const std::shared_ptr<MemoryBudget> request_memory_;
  /// Of the listeners of peers, readiness and metrics.
  const std::shared_ptr<MemoryBudget> operations_memory_;
  JobAcceptor acceptor_;
  Coordinator coordinator_;
  JobLookup lookup_;
  SubmissionGate gate_;
  LoopMonitor loop_monitor_;
  std::unique_ptr<HttpListener> caller_listener_;
  std::unique_ptr<HttpListener> ready_listener_;
  std::unique_ptr<HttpListener> peer_listener_;
  std::unique_ptr<HttpListener> metrics_listener_;
  std::size_t open_requests_ = 0;
  Instant last_request_at_{};
  Instant stop_deadline_{};
  /// Dropped requests since the last line of the log about them.
  std::size_t dropped_since_log_ = 0;
  std::optional<Instant> last_dropped_log_;
  bool is_stopping_ = false;
  bool is_halted_ = false;
};

JobServer::JobServer(asio::io_context& context, TimerService& timers,
                     PersistentHttpClient& http, const PlatformHooks& platform,
                     const JobServiceSettings& settings,
                     IncarnationId incarnation, JobServerHooks hooks)
    : impl_(std::make_shared<Impl>(context, timers, http, platform, settings,
                                   std::move(incarnation), std::move(hooks))) {}

JobServer::~JobServer() { impl_->Halt(); }

Status JobServer::Start() { return impl_->Start(); }
void JobServer::Stop() { impl_->Stop(); }

}  // namespace pomelomill
