#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "pomelomill/routing.h"
#include "world.h"

namespace pomelomill::faults {

/// Carries out the actions of one entry's router on the fakes, as the traffic
/// library does on sockets, and records what the callers see. Steps:
/// "dispatch.send", "retry.send", "dispatch.probe" and "response.deliver".
class RouterHost {
 public:
  RouterHost(World& world, testing::FakeProcess& process,
             RouterOptions options);
  RouterHost(const RouterHost&) = delete;
  RouterHost& operator=(const RouterHost&) = delete;
  ~RouterHost();

  void Handle(const RouterEvent& event);

  /// Takes the request with this index in the evidence.
  void Accept(std::size_t request, Duration service_time);
  void Cancel(std::size_t request);

  const Router& router() const { return router_; }

  /// Called after each response to a caller; may be empty.
  std::function<void(std::size_t request, Outcome outcome)> on_respond;

 private:
  void Do(const SendAttempt& action);
  void Do(const Respond& action);
  void Do(const DropResponse& action);
  void Do(const ProbeEndpoint& action);
  void Do(const WakeAt& action);
  void Finish(const SendAttempt& action,
              const Result<testing::EndpointResponse>& response);

  World& world_;
  testing::FakeProcess& process_;
  Router router_;
  /// Service time of each open request.
  std::map<RequestId, Duration> open_;
  std::map<RequestId, std::uint32_t> sends_;
  std::map<AttemptId, std::string> bodies_;
  Instant permit_until_{};
  TimerId wake_ = 0;
};

}  // namespace pomelomill::faults
