#include "pomelomill/jobserver/job_server.h"

#include <asio/io_context.hpp>
#include <optional>
#include <utility>

#include "accept_batch.h"
#include "job_lookup.h"
#include "job_metrics.h"
#include "loop_monitor.h"
#include "pomelomill/http/http_client.h"
#include "pomelomill/http/http_listener.h"
#include "pomelomill/jobserver/coordinator.h"
#include "pomelomill/jobserver/job_front.h"
#include "pomelomill/store/store_error.h"
#include "store_keys.h"

namespace pomelomill {
namespace {

constexpr Duration kStoreTimeout = std::chrono::milliseconds(900);
/// The store's clients are told to come back after an outage's usual step.
constexpr const char* kRetryAfterSeconds = "1";
/// Read at most, whatever the configuration in force allows.
constexpr std::size_t kMostBodyBytes = std::size_t{512} << 10;
/// An entry that has not heard from the store for this long takes itself out
/// of the balancer, since others may serve.
constexpr Duration kReadyContact = std::chrono::seconds(4);
/// Left of the stop grace when the process ends.
constexpr Duration kStopMargin = std::chrono::milliseconds(800);
/// A decision that holds up everything else for this long is logged: a tenth of
/// the time within which the store's answers are awaited.
constexpr Duration kSlowDecision = std::chrono::milliseconds(90);
constexpr Duration kStopPoll = std::chrono::milliseconds(50);
/// Callers use open connections until these end; this long without a request
/// counts as idle.
constexpr Duration kIdleBeforeExit = std::chrono::milliseconds(1500);

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
  Impl(asio::io_context& context, TimerService& timers, HttpClient& http,
       const PlatformHooks& platform, JobServiceSettings settings,
       IncarnationId incarnation, JobServerHooks hooks)
      : context_(context),
        timers_(timers),
        platform_(WithMetrics(platform)),
        settings_(std::move(settings)),
        incarnation_(std::move(incarnation)),
        hooks_(std::move(hooks)),
        accepts_(platform_.store, timers_,
                 {.on_store =
                      [this](bool is_up) {
                        Event(
                            "accept", is_up ? "store-regained" : "store-lost",
                            {{"waiting", std::to_string(accepts_.waiting())}});
                      }}),
        coordinator_(
            platform_, timers_, settings_, incarnation_,
            {.wall_ms = hooks_.wall_ms,
             .event =
                 [this](std::string_view part, std::string_view event,
                        std::vector<EventField> fields) {
                   Event(part, event, std::move(fields));
                 },
             .time =
                 [this](DispatchTiming kind, const QueueId& queue,
                        Duration took) {
                   metrics_.ObserveJobTime(kind, queue, took);
                 },
             .decided =
                 [this](std::string_view decision, std::size_t items,
                        Duration took) { OnDecision(decision, items, took); },
             .ask_peer =
                 [&http](const std::string& address, const std::string& path,
                         auto done) {
                   AskPeer(http, address, path, std::move(done));
                 }}),
        lookup_(platform_.store, http, coordinator_.view(), Local()),
        monitor_(timers_,
                 {.on_sample =
                      [this](Duration it) { metrics_.ObserveLoopDelay(it); },
                  .event =
                      [this](std::string_view part, std::string_view event,
                             std::vector<EventField> fields) {
                        Event(part, event, std::move(fields));
                      }}) {}

  Status Start() {
    front_ = MakeListener(settings_.caller_address,
                          [this](auto request, auto respond) {
                            OnFront(std::move(request), std::move(respond));
                          });
    ready_ = MakeListener(settings_.ready_address, [this](auto, auto respond) {
      respond({.status = IsReady() ? 200 : 503});
    });
    peers_ = MakeListener(
        settings_.peer_address, [this](auto request, auto respond) {
          PeerAnswer answer = AnswerPeer(Local(), request.target);
          respond({.status = answer.status, .body = std::move(answer.body)});
        });
    if (!settings_.metrics_address.empty()) {
      metrics_page_ =
          MakeListener(settings_.metrics_address, [this](auto, auto respond) {
            metrics_.SetOwnedPools(coordinator_.owned_pools());
            respond({.headers = {{"Content-Type", "text/plain; version=0.0.4"}},
                     .body = metrics_.Text()});
          });
    }
    for (HttpListener* it :
         {front_.get(), ready_.get(), peers_.get(), metrics_page_.get()}) {
      if (it == nullptr) continue;
      if (const Status status = it->Start(); !status) return status;
    }
    Event("server", "started",
          {{"entry", settings_.entry.value()},
           {"incarnation", incarnation_.value()},
           {"callers", settings_.caller_address}});
    coordinator_.Start();
    monitor_.Start();
    return {};
  }

  void Stop() {
    if (is_stopping_) return;
    is_stopping_ = true;
    stop_at_ = timers_.Now() + settings_.stop_grace - kStopMargin;
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
    hooks.store = Measured(std::move(hooks.store), timers_, metrics_);
    return hooks;
  }

  void Event(std::string_view part, std::string_view event,
             std::vector<EventField> fields) {
    metrics_.CountEvent(part, event);
    if (hooks_.event) hooks_.event(part, event, std::move(fields));
  }

  void OnDecision(std::string_view decision, std::size_t items, Duration took) {
    metrics_.ObserveDecision(decision, took);
    if (took < kSlowDecision) return;
    Event("process", "slow-decision",
          {{"decision", std::string(decision)},
           {"items", std::to_string(items)},
           {"ms", std::to_string(ToMillis(took))}});
  }

  template <typename Handler>
  std::unique_ptr<HttpListener> MakeListener(const std::string& address,
                                             Handler handler) {
    HttpListenerOptions options;
    options.address = Host(address);
    options.port = Port(address);
    options.max_body_bytes = kMostBodyBytes;
    options.message_timeout = std::chrono::seconds(15);
    return std::make_unique<HttpListener>(
        context_, options, HttpListenerHooks{.on_request = handler});
  }

  LocalPools Local() {
    return {
        .phase =
            [this](const PoolId& pool, const JobId& job) {
              return coordinator_.Phase(pool, job);
            },
        .waiting =
            [this](const PoolId& pool, const QueueId& queue) {
              return coordinator_.Waiting(pool, queue);
            },
        .load = [this](const PoolId& pool) { return coordinator_.Load(pool); }};
  }

  bool IsReady() const {
    if (is_stopping_ || coordinator_.config() == nullptr) return false;
    const auto contact = coordinator_.last_contact();
    return contact && timers_.Now() - *contact < kReadyContact;
  }

  /// Ends a request; the reason goes to the log.
  using Answer = std::function<void(OutgoingResponse, std::string_view reason)>;

  /// Counts the request, and writes one line when it is answered.
  Answer Counted(const IncomingRequest& request, const FrontRoute& route,
                 RespondHook respond) {
    ++open_requests_;
    last_request_at_ = timers_.Now();
    const FrontRequest& asked = route.request;
    const std::string queue =
        asked.queue == nullptr ? "" : asked.queue->id.value();
    return [weak = weak_from_this(), respond = std::move(respond), queue,
            method = request.method, target = request.target, job = asked.job,
            revision = ConfigRevision(), began = timers_.Now()](
               OutgoingResponse response, std::string_view reason) {
      const auto self = weak.lock();
      if (self == nullptr || self->is_halted_) return;
      --self->open_requests_;
      const Duration took = self->timers_.Now() - began;
      self->metrics_.ObserveRequest(queue, method, response.status, took);
      self->Event("front", "answer",
                  {{"job", job.value()},
                   {"method", method},
                   {"target", target},
                   {"queue", queue},
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

  /// An error with the time to come back.
  static OutgoingResponse Refusal(int status) {
    return {.status = status, .headers = {{"Retry-After", kRetryAfterSeconds}}};
  }

  static OutgoingResponse Json(std::string body) {
    return {.headers = {{"Content-Type", "application/json"}},
            .body = std::move(body)};
  }

  void OnFront(const IncomingRequest& request, RespondHook respond) {
    const FleetConfig* const config = coordinator_.config();
    FrontRoute route{.status = 503};
    if (config != nullptr) {
      route = RouteFrontRequest(*config, request.method, request.header("Host"),
                                request.target);
    }
    const Answer answer = Counted(request, route, std::move(respond));
    if (config == nullptr) return answer(Refusal(503), "no configuration yet");
    if (route.status != 200)
      return answer({.status = route.status}, "no such queue or job");
    switch (route.request.kind) {
      case FrontRequest::Kind::kSubmit:
        return Submit(route.request, request, answer);
      case FrontRequest::Kind::kState:
        return State(route.request, answer);
      case FrontRequest::Kind::kCancel:
        return Cancel(route.request, answer);
      case FrontRequest::Kind::kWaiting:
        return Waiting(route.request, answer);
    }
  }

  void Submit(const FrontRequest& asked, const IncomingRequest& request,
              const Answer& answer) {
    if (request.body.size() > coordinator_.config()->max_body_bytes)
      return answer({.status = 413}, "the body is larger than allowed");
    const auto spec = platform_.decode_job(request.body);
    if (!spec || !CheckJob(*spec)) return answer({.status = 400}, "bad job");
    const JobPlace place{asked.queue->pool, asked.queue->id};
    accepts_.Add(asked.job, place, EncodeStoredJob(asked.queue->id, *spec),
                 [this, answer, place, job = asked.job](AcceptOutcome outcome) {
                   if (outcome == AcceptOutcome::kRefused)
                     return answer(Refusal(503), "the store refused the job");
                   if (outcome == AcceptOutcome::kUnknown)
                     return answer(Refusal(504), "the store did not answer");
                   lookup_.Remember(job, place);
                   answer(Json("{}"), "stored");
                 });
  }

  void State(const FrontRequest& asked, const Answer& answer) {
    lookup_.FindPhase(
        asked.job, {asked.queue->pool, asked.queue->id},
        [this, answer](const Result<std::optional<JobPhase>>& phase) {
          if (!phase) return answer(Refusal(503), phase.error().message());
          if (!*phase) return answer({.status = 410}, "no such job");
          answer(Json(platform_.encode_phase(**phase)), ToText(**phase));
        });
  }

  void Waiting(const FrontRequest& asked, const Answer& answer) {
    lookup_.FindWaiting(asked.queue->pool, asked.queue->id,
                        [this, answer](const Result<std::uint32_t>& waiting) {
                          if (!waiting)
                            return answer(Refusal(503), "the owner is away");
                          answer(Json(platform_.encode_waiting(*waiting)),
                                 std::to_string(*waiting));
                        });
  }

  void Cancel(const FrontRequest& asked, const Answer& answer) {
    lookup_.FindPlace(
        asked.job, [this, answer, job = asked.job](
                       const Result<std::optional<JobPlace>>& place) {
          if (!place) return answer(Refusal(503), place.error().message());
          if (!*place) return answer({.status = 410}, "no such job");
          Transaction transaction;
          transaction.writes = {{CancelKey((*place)->pool, job), "1", {}}};
          platform_.store.commit(std::move(transaction), kStoreTimeout,
                                 [answer](const Result<CommitResult>& result) {
                                   // A cancellation may be repeated, whatever
                                   // became of it.
                                   if (!result)
                                     return answer(Refusal(504),
                                                   result.error().message());
                                   answer({.status = 200}, "stored");
                                 });
        });
  }

  void WaitForIdle() {
    const bool is_idle = coordinator_.has_left() && open_requests_ == 0 &&
                         timers_.Now() - last_request_at_ > kIdleBeforeExit;
    if (is_idle || timers_.Now() >= stop_at_) {
      Event("server", "stopped", {{"open", std::to_string(open_requests_)}});
      if (hooks_.on_stopped) hooks_.on_stopped();
      return;
    }
    timers_.ScheduleAfter(kStopPoll, [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (self != nullptr && !self->is_halted_) self->WaitForIdle();
    });
  }

  asio::io_context& context_;
  TimerService& timers_;
  /// Before what uses it.
  JobMetrics metrics_;
  const PlatformHooks platform_;
  const JobServiceSettings settings_;
  const IncarnationId incarnation_;
  JobServerHooks hooks_;
  AcceptBatch accepts_;
  Coordinator coordinator_;
  JobLookup lookup_;
  LoopMonitor monitor_;
  std::unique_ptr<HttpListener> front_;
  std::unique_ptr<HttpListener> ready_;
  std::unique_ptr<HttpListener> peers_;
  std::unique_ptr<HttpListener> metrics_page_;
  std::size_t open_requests_ = 0;
  Instant last_request_at_{};
  Instant stop_at_{};
  bool is_stopping_ = false;
  bool is_halted_ = false;
};

JobServer::JobServer(asio::io_context& context, TimerService& timers,
                     HttpClient& http, const PlatformHooks& platform,
                     const JobServiceSettings& settings,
                     IncarnationId incarnation, JobServerHooks hooks)
    : impl_(std::make_shared<Impl>(context, timers, http, platform, settings,
                                   std::move(incarnation), std::move(hooks))) {}

JobServer::~JobServer() { impl_->Halt(); }

Status JobServer::Start() { return impl_->Start(); }
void JobServer::Stop() { impl_->Stop(); }

}  // namespace pomelomill
