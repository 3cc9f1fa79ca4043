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

// Requests in hand are polled while draining.
constexpr Duration kDrainPoll = std::chrono::milliseconds(20);

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
        client_(context),
        endpoints_(client_),
        declarations_(std::make_shared<const Declarations>()) {}

  Status Start() {
    callers_.emplace(
        context_, options_.callers,
        HttpListenerHooks{
            [this](IncomingRequest request, RespondHook respond) {
              OnCaller(std::move(request), std::move(respond));
            },
            [this](std::uint64_t connection) { OnClosed(connection); }});
    admin_.emplace(
        context_, options_.admin,
        HttpListenerHooks{[this](IncomingRequest request, RespondHook respond) {
                            OnAdmin(std::move(request), std::move(respond));
                          },
                          {}});
    if (Status status = callers_->Start(); !status) return status;
    if (Status status = admin_->Start(); !status) return status;
    Report();
    return {};
  }

  /// Afterwards nothing is called back.
  void Stop() {
    is_stopped_ = true;
    callers_.reset();
    admin_.reset();
    for (const TimerId id : {wake_timer_, report_timer_, drain_timer_}) {
      timers_.Cancel(id);
    }
  }

  void Feed(const RouterEvent& event) {
    if (is_stopped_) return;
    if (const auto* changed = std::get_if<DeclarationsChanged>(&event)) {
      if (changed->declarations) declarations_ = changed->declarations;
    }
    for (const RouterAction& action : router_.Handle(event, timers_.Now())) {
      std::visit([this](const auto& it) { Carry(it); }, action);
    }
  }

  void RunForPeer(IncomingRequest request, RespondHook respond) {
    // Connection 0 stands for peers; the listener counts from 1.
    request.connection = 0;
    auto parsed = ParseCallerRequest(request, *declarations_);
    if (!parsed) return Refuse(std::move(parsed.error()), respond);
    const Instant deadline = timers_.Now() + parsed->time_allowed;
    AcceptIssued(std::move(request), *parsed, deadline, std::move(respond));
  }

  void Drain(std::function<void()> done) {
    if (is_draining_ || is_stopped_) return;
    is_draining_ = true;
    drain_timer_ = timers_.ScheduleAfter(options_.drain_notice,
                                         [this, done = std::move(done)] {
                                           takes_requests_ = false;
                                           if (callers_)
                                             callers_->StopAccepting();
                                           WaitForOpenRequests(done);
                                         });
  }

  std::uint16_t port() const { return callers_ ? callers_->port() : 0; }
  std::uint16_t admin_port() const { return admin_ ? admin_->port() : 0; }

  TrafficStatus status() const {
    TrafficStatus status;
    status.counters = router_.counters();
    status.queues = router_.queue_status(timers_.Now());
    status.load = router_.Report(timers_.Now());
    status.open_requests = router_.open_requests();
    status.open_connections = callers_ ? callers_->open_connections() : 0;
    status.is_draining = is_draining_;
    return status;
  }

  std::shared_ptr<const MetricRegistry> metrics() const {
    return metrics_.Snapshot();
  }

  asio::io_context& context() { return context_; }

 private:
  struct Pending {
    IncomingRequest request;
    RespondHook respond;
    /// Reports the outcome of a request with a key.
    std::function<void(KeyOutcome)> on_end;
    RequestMetrics::Series* metrics = nullptr;
    Instant arrived_at{};
  };

  void OnCaller(IncomingRequest request, RespondHook respond) {
    const Instant now = timers_.Now();
    if (!takes_requests_) {
      OutgoingResponse response =
          ResponseFor({.outcome = Outcome::kNotRun,
                       .reason = OutcomeReason::kNoSendPermit,
                       .retry_after = std::chrono::seconds(1)});
      response.closes_connection = true;
      return EndEarly({}, EarlyEnd::kStopping, std::move(response), respond);
    }
    if (request.method == "POST" && request.target.starts_with("/-/keys")) {
      return IssueKeys(request, respond);
    }
    auto parsed = ParseCallerRequest(request, *declarations_);
    if (!parsed) return Refuse(std::move(parsed.error()), respond);
    const Instant deadline = now + parsed->time_allowed;
    if (parsed->key.empty()) {
      return Accept(std::move(request), *parsed, deadline, std::move(respond));
    }
    const auto issuer = KeyIssuer::IncarnationOf(parsed->key);
    if (!issuer) {
      return ClaimThenAccept(std::move(request), std::move(*parsed), deadline,
                             std::move(respond));
    }
    if (*issuer == options_.router.incarnation) {
      return AcceptIssued(std::move(request), *parsed, deadline,
                          std::move(respond));
    }
    if (!hooks_.forward_keyed) {
      return EndEarly(*parsed, EarlyEnd::kKey,
                      ResponseForKey(KeyState::kForeign, {}), respond);
    }
    hooks_.forward_keyed(*issuer, std::move(request), std::move(respond));
  }

  /// Responds to a request that the router does not see.
  void EndEarly(const CallerRequest& parsed, EarlyEnd reason,
                OutgoingResponse response, const RespondHook& respond) {
    metrics_.For(parsed.queue, parsed.team, *declarations_)
        .EndEarly(OutcomeOf(response).outcome, reason);
    respond(std::move(response));
  }

  void Refuse(OutgoingResponse response, const RespondHook& respond) {
    EndEarly({}, EarlyEnd::kBadRequest, std::move(response), respond);
  }

  void IssueKeys(const IncomingRequest& request, const RespondHook& respond) {
    const auto count = KeysAskedFor(request.target);
    if (!count) return respond(ErrorResponse(400, "n is out of range"));
    OutgoingResponse response;
    response.headers.push_back({"Content-Type", "application/json"});
    response.body = nlohmann::json{{"keys", issuer_.Issue(*count)}}.dump();
    respond(std::move(response));
  }

  void AcceptIssued(IncomingRequest request, const CallerRequest& parsed,
                    Instant deadline, RespondHook respond) {
    const std::string key = parsed.key;
    const KeyDecision decision = issuer_.Begin(key, timers_.Now());
    if (decision.state != KeyState::kMayRun) {
      return EndEarly(
          parsed, EarlyEnd::kKey,
          ResponseForKey(decision.state, decision.state == KeyState::kDone
                                             ? std::optional(decision.outcome)
                                             : std::nullopt),
          respond);
    }
    Accept(std::move(request), parsed, deadline, std::move(respond),
           [this, key](KeyOutcome outcome) {
             issuer_.Finish(key, outcome, timers_.Now());
           });
  }

  void ClaimThenAccept(IncomingRequest request, CallerRequest parsed,
                       Instant deadline, RespondHook respond) {
    if (!hooks_.claim_key || !hooks_.finish_key) {
      return EndEarly(parsed, EarlyEnd::kKey, ResponseForClaim({}), respond);
    }
    ++open_claims_;
    const std::string key = parsed.key;
    auto shared = std::make_shared<Pending>(
        Pending{std::move(request), std::move(respond)});
    hooks_.claim_key(key, [self = weak_from_this(), shared, deadline,
                           parsed = std::move(parsed)](ClaimResult claim) {
      const auto it = self.lock();
      if (it && !it->is_stopped_)
        it->OnClaimed(*shared, parsed, deadline, claim);
    });
  }

  void OnClaimed(Pending& pending, const CallerRequest& parsed,
                 Instant deadline, const ClaimResult& claim) {
    --open_claims_;
    if (claim.state != ClaimState::kMayRun) {
      return EndEarly(parsed, EarlyEnd::kKey, ResponseForClaim(claim),
                      pending.respond);
    }
    Accept(std::move(pending.request), parsed, deadline,
           std::move(pending.respond),
           [this, key = parsed.key](KeyOutcome outcome) {
             hooks_.finish_key(key, outcome);
           });
  }

  void Accept(IncomingRequest request, const CallerRequest& parsed,
              Instant deadline, RespondHook respond,
              std::function<void(KeyOutcome)> on_end = {}) {
    const RequestId id = next_request_;
    next_request_ = next_request_.Next();
    by_connection_[request.connection].insert(id);
    pending_.emplace(id, Pending{.request = std::move(request),
                                 .respond = std::move(respond),
                                 .on_end = std::move(on_end),
                                 .metrics = &metrics_.For(
                                     parsed.queue, parsed.team, *declarations_),
                                 .arrived_at = deadline - parsed.time_allowed});
    Feed(RequestArrived{.request = id,
                        .queue = parsed.queue,
                        .team = parsed.team,
                        .deadline = deadline,
                        .is_repeatable = parsed.key.empty()});
  }

  void OnClosed(std::uint64_t connection) {
    const auto found = by_connection_.find(connection);
    if (found == by_connection_.end()) return;
    const std::set<RequestId> requests = std::move(found->second);
    by_connection_.erase(found);
    for (const RequestId id : requests) {
      const auto pending = pending_.find(id);
      // A keyed request goes on without its caller, so that a repeat of the
      // key learns the outcome.
      if (pending == pending_.end() || pending->second.on_end) continue;
      pending->second.metrics->EndEarly({}, EarlyEnd::kCancelled);
      pending_.erase(pending);
      Feed(RequestCancelled{id});
    }
  }

  void OnAdmin(IncomingRequest request, RespondHook respond) {
    if (!hooks_.on_admin) return respond(ErrorResponse(404, "no handler"));
    hooks_.on_admin(std::move(request), std::move(respond));
  }

  void Carry(const SendAttempt& action) {
    const auto found = pending_.find(action.request);
    if (found == pending_.end()) {
      // The caller went away between the decision and the sending.
      asio::post(context_, [self = shared_from_this(), id = action.attempt] {
        self->Feed(AttemptFinished{id, AttemptResult::kFailed, false});
      });
      return;
    }
    endpoints_.Send(action, found->second.request, timers_.Now(),
                    [this](AttemptFinished finished, HttpResponse response) {
                      response_ = std::move(response);
                      Feed(finished);
                      response_ = {};
                    });
  }

  void Carry(const Respond& action) {
    const auto found = pending_.find(action.request);
    if (found == pending_.end()) return;
    const RespondHook respond = std::move(found->second.respond);
    const auto on_end = std::move(found->second.on_end);
    found->second.metrics->End(action.outcome, action.reason,
                               timers_.Now() - found->second.arrived_at);
    const std::uint64_t connection = found->second.request.connection;
    const auto requests = by_connection_.find(connection);
    if (requests != by_connection_.end()) {
      requests->second.erase(action.request);
      if (requests->second.empty()) by_connection_.erase(requests);
    }
    pending_.erase(found);
    // The router answers with the attempt that has just ended or with none.
    OutgoingResponse response = action.outcome == Outcome::kAnswered
                                    ? PassedOn(std::exchange(response_, {}))
                                    : ResponseFor(action);
    if (on_end) on_end(OutcomeOf(response));
    respond(std::move(response));
  }

  void Carry(const DropResponse& /*action*/) { response_ = {}; }

  void Carry(const ProbeEndpoint& action) {
    endpoints_.Probe(action,
                     [this](const ProbeFinished& probe) { Feed(probe); });
  }

  void Carry(const WakeAt& action) {
    timers_.Cancel(wake_timer_);
    wake_timer_ =
        timers_.ScheduleAt(action.when, [this] { Feed(TimerTick{}); });
  }

  void Report() {
    if (hooks_.on_report) hooks_.on_report(router_.Report(timers_.Now()));
    report_timer_ =
        timers_.ScheduleAfter(options_.report_interval, [this] { Report(); });
  }

  void WaitForOpenRequests(const std::function<void()>& done) {
    if (router_.open_requests() == 0 && router_.open_attempts() == 0 &&
        open_claims_ == 0) {
      return done();
    }
    drain_timer_ = timers_.ScheduleAfter(
        kDrainPoll, [this, done] { WaitForOpenRequests(done); });
  }

  asio::io_context& context_;
  TimerService& timers_;
  TrafficOptions options_;
  TrafficHooks hooks_;
  Router router_;
  KeyIssuer issuer_;
  RequestMetrics metrics_;
  HttpClient client_;
  EndpointClient endpoints_;
  std::shared_ptr<const Declarations> declarations_;
  std::optional<HttpListener> callers_;
  std::optional<HttpListener> admin_;
  RequestId next_request_{1};
  std::unordered_map<RequestId, Pending> pending_;
  std::unordered_map<std::uint64_t, std::set<RequestId>> by_connection_;
  /// Response of the attempt that is being reported.
  HttpResponse response_;
  TimerId wake_timer_ = 0;
  TimerId report_timer_ = 0;
  TimerId drain_timer_ = 0;
  std::size_t open_claims_ = 0;
  bool is_draining_ = false;
  bool takes_requests_ = true;
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
               if (const auto it = impl.lock()) it->Feed(event);
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
