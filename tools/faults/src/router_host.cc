#include "router_host.h"

#include <memory>
#include <utility>
#include <variant>

namespace pomelomill::faults {
namespace {

using testing::EndpointOutcome;
using testing::EndpointResponse;

constexpr Duration kProbeTimeout = std::chrono::seconds(1);

AttemptFinished ToEvent(AttemptId attempt,
                        const Result<EndpointResponse>& response) {
  if (!response) {
    const bool was_refused = response.error() == std::errc::connection_refused;
    return {attempt, AttemptResult::kFailed, !was_refused};
  }
  switch (response->outcome) {
    case EndpointOutcome::kComplete:
      return {attempt, AttemptResult::kAnswered, true};
    case EndpointOutcome::kFailed:
      return {attempt, AttemptResult::kAnsweredWithError, true};
    case EndpointOutcome::kNotProcessed:
      return {attempt, AttemptResult::kRefused, true};
    case EndpointOutcome::kTruncated:
      break;
  }
  return {attempt, AttemptResult::kFailed, true};
}

}  // namespace

RouterHost::RouterHost(World& world, testing::FakeProcess& process,
                       RouterOptions options)
    : world_(world), process_(process), router_([&] {
        if (world.broken.router_options) world.broken.router_options(options);
        return options;
      }()) {}

RouterHost::~RouterHost() { process_.Cancel(wake_); }

void RouterHost::Handle(const RouterEvent& event) {
  if (const auto* permit = std::get_if<SendPermitChanged>(&event)) {
    permit_until_ = permit->valid_until;
  }
  for (const RouterAction& action : router_.Handle(event, process_.Now())) {
    // A fault at one action may end the process before the next one.
    if (!process_.is_running()) return;
    std::visit([this](const auto& it) { Do(it); }, action);
  }
}

void RouterHost::Accept(std::size_t request, Duration service_time) {
  const CallerRequest& it = world_.evidence.requests[request];
  const RequestId id(request + 1);
  open_[id] = service_time;
  Handle(RequestArrived{id, it.queue, TeamId(), process_.Now() + it.deadline,
                        it.is_repeatable});
}

void RouterHost::Cancel(std::size_t request) {
  Handle(RequestCancelled{RequestId(request + 1)});
}

void RouterHost::Do(const SendAttempt& action) {
  const CallerRequest& request =
      world_.evidence.requests[action.request.value() - 1];
  testing::EndpointRequest sent;
  sent.id = request.id;
  sent.key = request.key;
  sent.queue = request.queue;
  const PoolId* pool = router_.endpoints().pool_of(action.vm);
  if (pool) sent.pool = *pool;
  sent.service_time = open_[action.request];
  const std::string step =
      ++sends_[action.request] == 1 ? "dispatch.send" : "retry.send";
  world_.EndpointOf(action.vm).Send(
      process_, step, sent, action.abort_at - process_.Now(),
      [this, action](const Result<EndpointResponse>& response) {
        Finish(action, response);
      });
}

void RouterHost::Finish(const SendAttempt& action,
                        const Result<EndpointResponse>& response) {
  if (response) bodies_[action.attempt] = response->body;
  AttemptFinished event = ToEvent(action.attempt, response);
  if (world_.broken.attempt) world_.broken.attempt(event);
  Handle(event);
  bodies_.erase(action.attempt);
}

void RouterHost::Do(const Respond& action) {
  const testing::Fault fault =
      world_.injector.Before("response.deliver", process_);
  if (!process_.is_running()) return;
  open_.erase(action.request);
  sends_.erase(action.request);
  std::string body =
      action.outcome == Outcome::kAnswered ? bodies_[action.attempt] : "";
  if (world_.broken.body) body = world_.broken.body(body);
  process_.RunInside(process_.run(), [this, action, body] {
    CallerRequest& it = world_.evidence.requests[action.request.value() - 1];
    ++it.responses;
    it.answered = world_.timers.Now();
    it.body = body;
    switch (action.outcome) {
      case Outcome::kAnswered:
        it.outcome = CallerOutcome::kAnswered;
        break;
      case Outcome::kNotRun:
        it.outcome = CallerOutcome::kNotRun;
        break;
      case Outcome::kUnknown:
        it.outcome = CallerOutcome::kUnknown;
        break;
    }
    if (on_respond) on_respond(action.request.value() - 1, action.outcome);
  });
  world_.injector.After(fault, process_);
}

void RouterHost::Do(const DropResponse& action) {
  bodies_.erase(action.attempt);
}

void RouterHost::Do(const ProbeEndpoint& action) {
  world_.EndpointOf(action.vm).Health(
      process_, "dispatch.probe", kProbeTimeout,
      [this, vm = action.vm](const Result<testing::EndpointHealth>& health) {
        if (!health) {
          Handle(ProbeFinished{vm, false, false, Generation()});
          return;
        }
        Handle(
            ProbeFinished{vm, true, health->is_draining, health->generation});
      });
}

void RouterHost::Do(const WakeAt& action) {
  process_.Cancel(wake_);
  if (action.when == Instant::max()) return;
  wake_ = process_.ScheduleAt(action.when, [this] { Handle(TimerTick{}); });
}

}  // namespace pomelomill::faults
