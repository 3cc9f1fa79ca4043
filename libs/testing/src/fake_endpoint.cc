#include "pomelomill/testing/fake_endpoint.h"

#include <algorithm>
#include <system_error>
#include <utility>

namespace pomelomill::testing {
namespace {

/// A late response comes this much after the end of the run.
constexpr Duration kLateResponse = std::chrono::seconds(6);

Result<EndpointResponse> Broken(std::errc e) {
  return Unexpected(std::make_error_code(e));
}

EndpointMisbehaviour MisbehaviourOf(Fault fault) {
  switch (fault) {
    case Fault::kEndpointRefuses:
      return EndpointMisbehaviour::kRefuse;
    case Fault::kEndpointFails:
      return EndpointMisbehaviour::kFail;
    case Fault::kEndpointClosesEarly:
      return EndpointMisbehaviour::kCloseBeforeRunning;
    case Fault::kEndpointClosesLate:
      return EndpointMisbehaviour::kCloseBeforeResponse;
    case Fault::kEndpointTruncates:
      return EndpointMisbehaviour::kTruncate;
    case Fault::kEndpointAnswersLate:
      return EndpointMisbehaviour::kAnswerLate;
    default:
      return EndpointMisbehaviour::kNone;
  }
}

}  // namespace

std::string EndpointBody(const std::string& request_id) {
  return "result of " + request_id;
}

std::string EndpointErrorBody(const std::string& request_id) {
  return "error of " + request_id;
}

FakeEndpoint::FakeEndpoint(VmId vm, VirtualTimerService& world,
                           FaultInjector* injector, std::uint32_t slots)
    : vm_(std::move(vm)),
      world_(world),
      transport_(world, injector),
      slots_(slots) {}

void FakeEndpoint::Send(FakeProcess& sender, const std::string& step,
                        const EndpointRequest& request, Duration timeout,
                        Respond callback) {
  transport_.Carry<EndpointResponse>(
      sender, step, timeout, std::make_error_code(std::errc::timed_out),
      [this, name = sender.name(), request](Fault fault,
                                            const Respond& respond) {
        Receive(name, request, MisbehaviourOf(fault), respond);
      },
      std::move(callback));
}

void FakeEndpoint::Health(
    FakeProcess& sender, const std::string& step, Duration timeout,
    std::function<void(Result<EndpointHealth>)> callback) {
  transport_.Carry<EndpointHealth>(
      sender, step, timeout, std::make_error_code(std::errc::timed_out),
      [this](Fault,
             const std::function<void(Result<EndpointHealth>)>& respond) {
        if (!is_up_) {
          respond(
              Unexpected(std::make_error_code(std::errc::connection_refused)));
          return;
        }
        respond(EndpointHealth{active(), slots_, is_draining_, generation_});
      },
      std::move(callback));
}

void FakeEndpoint::Misbehave(EndpointMisbehaviour kind, std::uint32_t times) {
  misbehaviour_ = kind;
  misbehaviours_left_ = times;
}

void FakeEndpoint::Receive(const std::string& sender,
                           const EndpointRequest& request,
                           EndpointMisbehaviour how, const Respond& respond) {
  if (!is_up_) {
    respond(Broken(std::errc::connection_refused));
    return;
  }
  if (misbehaviours_left_ > 0) {
    --misbehaviours_left_;
    how = misbehaviour_;
  }
  if (is_draining_ || active() >= slots_ ||
      how == EndpointMisbehaviour::kRefuse) {
    respond(EndpointResponse{EndpointOutcome::kNotProcessed, ""});
    return;
  }
  if (how == EndpointMisbehaviour::kCloseBeforeRunning) {
    respond(Broken(std::errc::connection_reset));
    return;
  }
  const std::size_t run = runs_.size();
  runs_.push_back({request, sender, vm_, generation_, world_.Now(), Instant(),
                   RunEnd::kRunning});
  active_[run] = {world_.ScheduleAfter(request.service_time,
                                       [this, run, how] { Finish(run, how); }),
                  respond};
  max_active_ = std::max(max_active_, active());
}

void FakeEndpoint::Finish(std::size_t run, EndpointMisbehaviour how) {
  const Respond respond = std::move(active_.at(run).respond);
  active_.erase(run);
  EndpointRun& record = runs_[run];
  record.end = world_.Now();
  record.how = RunEnd::kFinished;
  const std::string body = EndpointBody(record.request.id);
  switch (how) {
    case EndpointMisbehaviour::kFail:
      respond(EndpointResponse{EndpointOutcome::kFailed,
                               EndpointErrorBody(record.request.id)});
      return;
    case EndpointMisbehaviour::kCloseBeforeResponse:
      respond(Broken(std::errc::connection_reset));
      return;
    case EndpointMisbehaviour::kTruncate:
      respond(EndpointResponse{EndpointOutcome::kTruncated,
                               body.substr(0, body.size() / 2)});
      return;
    case EndpointMisbehaviour::kAnswerLate:
      world_.ScheduleAfter(kLateResponse, [respond, body] {
        respond(EndpointResponse{EndpointOutcome::kComplete, body});
      });
      return;
    default:
      respond(EndpointResponse{EndpointOutcome::kComplete, body});
      return;
  }
}

void FakeEndpoint::Halt(RunEnd how) {
  is_up_ = false;
  auto cut = std::move(active_);
  active_.clear();
  for (auto& [run, it] : cut) {
    world_.Cancel(it.timer);
    runs_[run].end = world_.Now();
    runs_[run].how = how;
    it.respond(Broken(std::errc::connection_reset));
  }
}

void FakeEndpoint::Start(Generation generation) {
  is_up_ = true;
  is_draining_ = false;
  generation_ = generation;
}

}  // namespace pomelomill::testing
