#include "pomelomill/traffic/traffic_server.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "pomelomill/traffic/caller_protocol.h"
#include "pomelomill/traffic/endpoint_client.h"
#include "pomelomill/traffic/request_metrics.h"

namespace pomelomill {
namespace {

// Interval of the check for open requests while draining.
constexpr Duration kDrainPollInterval = std::chrono::milliseconds(20);

}  // namespace

class TrafficServer::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& context, TimerService& timers, TrafficOptions options,
       TrafficHooks hooks)
      : context_(context),
        timers_(timers),
        options_(std::move(options)),
        hooks_(std::move(hooks)),
        router_(options_.router),
        issuer_(options_.router.incarnation, options_.keys),
        http_client_(context),
        endpoint_client_(http_client_),
        declarations_(std::make_shared<const Declarations>()) {}

  Status Start() {
    caller_listener_.emplace(
        context_, options_.callers,
        HttpListenerHooks{[this](IncomingRequest request, RespondHook respond) {
                            OnCallerRequest(std::move(request),
                                            std::move(respond));
                          },
                          [this](std::uint64_t connection) {
                            OnConnectionClosed(connection);
                          }});
    admin_listener_.emplace(
        context_, options_.admin,
        HttpListenerHooks{[this](IncomingRequest request, RespondHook respond) {
                            OnAdminRequest(std::move(request),
                                           std::move(respond));
                          },
                          {}});
    if (Status status = caller_listener_->Start(); !status) return status;
    if (Status status = admin_listener_->Start(); !status) return status;
    Report();
    return {};
  }

  /// Closes the listeners and cancels the timers; no hook or event handler runs
  /// afterwards.
  void Stop() {
    is_stopped_ = true;
    caller_listener_.reset();
    admin_listener_.reset();
    for (const TimerId id : {wake_timer_, report_timer_, drain_timer_}) {
      timers_.Cancel(id);
    }
  }

  void HandleEvent(const RouterEvent& event) {
    if (is_stopped_) return;
    if (const auto* changed = std::get_if<DeclarationsChanged>(&event)) {
      if (changed->declarations) declarations_ = changed->declarations;
    }
    for (const RouterAction& action : router_.Handle(event, timers_.Now())) {
      std::visit([this](const auto& it) { Execute(it); }, action);
    }
  }

  void RunForPeer(IncomingRequest request, RespondHook respond) {
    // Connection 0 marks requests from peers; the listener numbers its
    // connections from 1.
    request.connection = 0;
    auto parsed = ParseCallerRequest(request, *declarations_);
    if (!parsed) return RespondBadRequest(std::move(parsed.error()), respond);
    const Instant deadline = timers_.Now() + parsed->timeout;
    SubmitWithIssuedKey(std::move(request), *parsed, deadline,
                        std::move(respond));
  }

  void Drain(std::function<void()> done) {
    if (is_draining_ || is_stopped_) return;
    is_draining_ = true;
    drain_timer_ = timers_.ScheduleAfter(options_.drain_delay,
                                         [this, done = std::move(done)] {
                                           accepts_requests_ = false;
                                           if (caller_listener_)
                                             caller_listener_->StopAccepting();
                                           WaitForOpenRequests(done);
                                         });
  }

  std::uint16_t port() const {
    return caller_listener_ ? caller_listener_->port() : 0;
  }
  std::uint16_t admin_port() const {
    return admin_listener_ ? admin_listener_->port() : 0;
  }

  TrafficStatus status() const {
    TrafficStatus status;
    status.counters = router_.counters();
    status.queues = router_.queue_status(timers_.Now());
    status.load = router_.Report(timers_.Now());
    status.open_requests = router_.open_requests();
    status.open_connections =
        caller_listener_ ? caller_listener_->open_connections() : 0;
    status.is_draining = is_draining_;
    return status;
  }

  std::shared_ptr<const MetricRegistry> metrics() const {
    return metrics_.Snapshot();
  }

  asio::io_context& context() { return context_; }

 private:
  struct PendingRequest {
    IncomingRequest request;
    RespondHook respond;
    /// Receives the outcome of a request with an idempotency key; empty for
    /// other requests.
    std::function<void(KeyOutcome)> on_end;
    RequestMetrics::Series* metrics = nullptr;
    Instant arrived_at{};
  };

  void OnCallerRequest(IncomingRequest request, RespondHook respond) {
    const Instant now = timers_.Now();
    if (!accepts_requests_) {
      OutgoingResponse response =
          ResponseForOutcome({.outcome = Outcome::kNotRun,
                              .reason = OutcomeReason::kNoSendPermit,
                              .retry_after = std::chrono::seconds(1)});
      response.closes_connection = true;
      return RespondWithoutRouting({}, EarlyEndReason::kStopping,
                                   std::move(response), respond);
    }
    if (request.method == "POST" && request.target.starts_with("/-/keys")) {
      return IssueKeys(request, respond);
    }
    auto parsed = ParseCallerRequest(request, *declarations_);
    if (!parsed) return RespondBadRequest(std::move(parsed.error()), respond);
    const Instant deadline = now + parsed->timeout;
    if (parsed->key.empty()) {
      return Submit(std::move(request), *parsed, deadline, std::move(respond));
    }
    const auto issuer = KeyIssuer::IncarnationOf(parsed->key);
    if (!issuer) {
      return ClaimKeyThenSubmit(std::move(request), std::move(*parsed),
                                deadline, std::move(respond));
    }
    if (*issuer == options_.router.incarnation) {
      return SubmitWithIssuedKey(std::move(request), *parsed, deadline,
                                 std::move(respond));
    }
    if (!hooks_.forward_keyed) {
      return RespondWithoutRouting(*parsed, EarlyEndReason::kKey,
                                   ResponseForKey(KeyState::kNotIssuedHere, {}),
                                   respond);
    }
    hooks_.forward_keyed(*issuer, std::move(request), std::move(respond));
  }

  /// Responds to a request that is not passed to the router, and records it.
  void RespondWithoutRouting(const CallerRequest& parsed, EarlyEndReason reason,
                             OutgoingResponse response,
                             const RespondHook& respond) {
    metrics_.SeriesFor(parsed.queue, parsed.team, *declarations_)
        .RecordEarlyEnd(OutcomeOf(response).outcome, reason);
    respond(std::move(response));
  }

  void RespondBadRequest(OutgoingResponse response,
                         const RespondHook& respond) {
    RespondWithoutRouting({}, EarlyEndReason::kBadRequest, std::move(response),
                          respond);
  }

  void IssueKeys(const IncomingRequest& request, const RespondHook& respond) {
    const auto count = ParseKeyCount(request.target);
    if (!count) return respond(ErrorResponse(400, "n is out of range"));
    OutgoingResponse response;
    response.headers.push_back({"Content-Type", "application/json"});
    response.body = nlohmann::json{{"keys", issuer_.Issue(*count)}}.dump();
    respond(std::move(response));
  }

  void SubmitWithIssuedKey(IncomingRequest request, const CallerRequest& parsed,
                           Instant deadline, RespondHook respond) {
    const std::string key = parsed.key;
    const KeyDecision decision = issuer_.Begin(key, timers_.Now());
    if (decision.state != KeyState::kMayRun) {
      return RespondWithoutRouting(
          parsed, EarlyEndReason::kKey,
          ResponseForKey(decision.state, decision.state == KeyState::kDone
                                             ? std::optional(decision.outcome)
                                             : std::nullopt),
          respond);
    }
    Submit(std::move(request), parsed, deadline, std::move(respond),
           [this, key](KeyOutcome outcome) {
             issuer_.Finish(key, outcome, timers_.Now());
           });
  }

  void ClaimKeyThenSubmit(IncomingRequest request, CallerRequest parsed,
                          Instant deadline, RespondHook respond) {
    if (!hooks_.claim_key || !hooks_.finish_key) {
      return RespondWithoutRouting(parsed, EarlyEndReason::kKey,
                                   ResponseForClaim({}), respond);
    }
    ++claims_in_progress_;
    const std::string key = parsed.key;
    auto shared = std::make_shared<PendingRequest>(
        PendingRequest{std::move(request), std::move(respond)});
    hooks_.claim_key(key, [self = weak_from_this(), shared, deadline,
                           parsed = std::move(parsed)](ClaimResult claim) {
      const auto it = self.lock();
      if (it && !it->is_stopped_)
        it->OnClaimed(*shared, parsed, deadline, claim);
    });
  }

  void OnClaimed(PendingRequest& pending, const CallerRequest& parsed,
                 Instant deadline, const ClaimResult& claim) {
    --claims_in_progress_;
    if (claim.state != ClaimState::kMayRun) {
      return RespondWithoutRouting(parsed, EarlyEndReason::kKey,
                                   ResponseForClaim(claim), pending.respond);
    }
    Submit(std::move(pending.request), parsed, deadline,
           std::move(pending.respond),
           [this, key = parsed.key](KeyOutcome outcome) {
             hooks_.finish_key(key, outcome);
           });
  }

  void Submit(IncomingRequest request, const CallerRequest& parsed,
              Instant deadline, RespondHook respond,
              std::function<void(KeyOutcome)> on_end = {}) {
    const RequestId id = next_request_;
    next_request_ = next_request_.Next();
    requests_by_connection_[request.connection].insert(id);
    pending_requests_.emplace(
        id, PendingRequest{.request = std::move(request),
                           .respond = std::move(respond),
                           .on_end = std::move(on_end),
                           .metrics = &metrics_.SeriesFor(
                               parsed.queue, parsed.team, *declarations_),
                           .arrived_at = deadline - parsed.timeout});
    HandleEvent(RequestArrived{.request = id,
                               .queue = parsed.queue,
                               .team = parsed.team,
                               .deadline = deadline,
                               .is_repeatable = parsed.key.empty()});
  }

  void OnConnectionClosed(std::uint64_t connection) {
    const auto found = requests_by_connection_.find(connection);
    if (found == requests_by_connection_.end()) return;
    const std::set<RequestId> requests = std::move(found->second);
    requests_by_connection_.erase(found);
    for (const RequestId id : requests) {
      const auto pending = pending_requests_.find(id);
      // A request with a key continues without its caller, so that a repeated
      // request with the key receives the outcome.
      if (pending == pending_requests_.end() || pending->second.on_end)
        continue;
      pending->second.metrics->RecordEarlyEnd({}, EarlyEndReason::kCancelled);
      pending_requests_.erase(pending);
      HandleEvent(RequestCancelled{id});
    }
  }

  void OnAdminRequest(IncomingRequest request, RespondHook respond) {
    if (!hooks_.on_admin) return respond(ErrorResponse(404, "no handler"));
    hooks_.on_admin(std::move(request), std::move(respond));
  }

  void Execute(const SendAttempt& action) {
    const auto found = pending_requests_.find(action.request);
    if (found == pending_requests_.end()) {
      // The caller closed its connection after the router chose the endpoint.
      asio::post(context_, [self = shared_from_this(), id = action.attempt] {
        self->HandleEvent(AttemptFinished{id, AttemptResult::kFailed, false});
      });
      return;
    }
    endpoint_client_.Send(
        action, found->second.request, timers_.Now(),
        [this](AttemptFinished finished, HttpResponse response) {
          finished_response_ = std::move(response);
          HandleEvent(finished);
          finished_response_ = {};
        });
  }

  void Execute(const Respond& action) {
    const auto found = pending_requests_.find(action.request);
    if (found == pending_requests_.end()) return;
    const RespondHook respond = std::move(found->second.respond);
    const auto on_end = std::move(found->second.on_end);
    found->second.metrics->RecordEnd(action.outcome, action.reason,
                                     timers_.Now() - found->second.arrived_at);
    const std::uint64_t connection = found->second.request.connection;
    const auto requests = requests_by_connection_.find(connection);
    if (requests != requests_by_connection_.end()) {
      requests->second.erase(action.request);
      if (requests->second.empty()) requests_by_connection_.erase(requests);
    }
    pending_requests_.erase(found);
    // An answered request always refers to the attempt that is being reported,
    // whose response is in `finished_response_`.
    OutgoingResponse response =
        action.outcome == Outcome::kAnswered
            ? ForwardedResponse(std::exchange(finished_response_, {}))
            : ResponseForOutcome(action);
    if (on_end) on_end(OutcomeOf(response));
    respond(std::move(response));
  }

  void Execute(const DropResponse& /*action*/) { finished_response_ = {}; }

  void Execute(const ProbeEndpoint& action) {
    endpoint_client_.Probe(
        action, [this](const ProbeFinished& probe) { HandleEvent(probe); });
  }

  void Execute(const WakeAt& action) {
    timers_.Cancel(wake_timer_);
    wake_timer_ =
        timers_.ScheduleAt(action.when, [this] { HandleEvent(TimerTick{}); });
  }

  void Report() {
    if (hooks_.on_report) hooks_.on_report(router_.Report(timers_.Now()));
    report_timer_ =
        timers_.ScheduleAfter(options_.report_interval, [this] { Report(); });
  }

  void WaitForOpenRequests(const std::function<void()>& done) {
    if (router_.open_requests() == 0 && router_.open_attempts() == 0 &&
        claims_in_progress_ == 0) {
      return done();
    }
    drain_timer_ = timers_.ScheduleAfter(
        kDrainPollInterval, [this, done] { WaitForOpenRequests(done); });
  }

  asio::io_context& context_;
  TimerService& timers_;
  TrafficOptions options_;
  TrafficHooks hooks_;
  Router router_;
  KeyIssuer issuer_;
  RequestMetrics metrics_;
  HttpClient http_client_;
  EndpointClient endpoint_client_;
  std::shared_ptr<const Declarations> declarations_;
  std::optional<HttpListener> caller_listener_;
  std::optional<HttpListener> admin_listener_;
  RequestId next_request_{1};
  std::unordered_map<RequestId, PendingRequest> pending_requests_;
  std::unordered_map<std::uint64_t, std::set<RequestId>>
      requests_by_connection_;
  /// Response of the attempt that is being reported to the router.
  HttpResponse finished_response_;
  TimerId wake_timer_ = 0;
  TimerId report_timer_ = 0;
  TimerId drain_timer_ = 0;
  std::size_t claims_in_progress_ = 0;
  bool is_draining_ = false;
  bool accepts_requests_ = true;
  bool is_stopped_ = false;
};

TrafficServer::TrafficServer(asio::io_context& context, TimerService& timers,
                             TrafficOptions options, TrafficHooks hooks)
    : impl_(std::make_shared<Impl>(context, timers, std::move(options),
                                   std::move(hooks))) {}

TrafficServer::~TrafficServer() { impl_->Stop(); }

Status TrafficServer::Start() { return impl_->Start(); }

void TrafficServer::Post(RouterEvent event) {
  asio::post(impl_->context(),
             [impl = std::weak_ptr(impl_), event = std::move(event)] {
               if (const auto it = impl.lock()) it->HandleEvent(event);
             });
}

void TrafficServer::RunForPeer(IncomingRequest request, RespondHook respond) {
  asio::post(impl_->context(),
             [impl = std::weak_ptr(impl_), request = std::move(request),
              respond = std::move(respond)]() mutable {
               const auto it = impl.lock();
               if (it) it->RunForPeer(std::move(request), std::move(respond));
             });
}

void TrafficServer::Drain(std::function<void()> done) {
  asio::post(impl_->context(),
             [impl = std::weak_ptr(impl_), done = std::move(done)] {
               if (const auto it = impl.lock()) it->Drain(done);
             });
}

std::uint16_t TrafficServer::port() const { return impl_->port(); }
std::uint16_t TrafficServer::admin_port() const { return impl_->admin_port(); }
TrafficStatus TrafficServer::status() const { return impl_->status(); }
std::shared_ptr<const MetricRegistry> TrafficServer::metrics() const {
  return impl_->metrics();
}

}  // namespace pomelomill
