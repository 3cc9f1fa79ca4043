#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "pomelomill/base/ids.h"
#include "pomelomill/testing/call_transport.h"

namespace pomelomill::testing {

/// A request as an endpoint receives it.
struct EndpointRequest {
  /// Unique for each request of a caller; the same for its retries.
  std::string id;
  /// At-most-once key; empty for none.
  std::string key;
  QueueId queue;
  /// Pool that the sender takes this VM to be in.
  PoolId pool;
  Duration service_time = std::chrono::milliseconds(100);
};

enum class EndpointOutcome {
  /// Complete response with the body of this request.
  kComplete,
  /// 503 with Pomelomill-Not-Processed.
  kNotProcessed,
  /// Any other 5xx.
  kFailed,
  /// The connection ended inside the body.
  kTruncated,
};

struct EndpointResponse {
  EndpointOutcome outcome = EndpointOutcome::kComplete;
  std::string body;
};

/// Response of /healthz.
struct EndpointHealth {
  std::uint32_t active = 0;
  std::uint32_t slots = 0;
  bool is_draining = false;
  Generation generation;
};

enum class RunEnd { kRunning, kFinished, kCutByStop, kLostWithVm };

/// One request that an endpoint has begun to process.
struct EndpointRun {
  EndpointRequest request;
  /// Process that sent the request.
  std::string sender;
  VmId vm;
  Generation generation;
  Instant start;
  Instant end;
  RunEnd how = RunEnd::kRunning;
};

/// What the endpoint does with the next request instead of answering it.
enum class EndpointMisbehaviour {
  kNone,
  kRefuse,
  kFail,
  kCloseBeforeRunning,
  kCloseBeforeResponse,
  kTruncate,
  kAnswerLate,
};

/// Body of the complete response to a request.
std::string EndpointBody(const std::string& request_id);

/// Body of a 5xx response of the endpoint itself.
std::string EndpointErrorBody(const std::string& request_id);

/// One runner. Errors of Send(): connection_refused when no byte was sent,
/// connection_reset when the connection ended without a response, timed_out.
class FakeEndpoint {
 public:
  FakeEndpoint(VmId vm, VirtualTimerService& world,
               FaultInjector* injector = nullptr, std::uint32_t slots = 8);

  void Send(FakeProcess& sender, const std::string& step,
            const EndpointRequest& request, Duration timeout,
            std::function<void(Result<EndpointResponse>)> callback);
  void Health(FakeProcess& sender, const std::string& step, Duration timeout,
              std::function<void(Result<EndpointHealth>)> callback);

  /// The next `times` requests meet this.
  void Misbehave(EndpointMisbehaviour kind, std::uint32_t times = 1);
  void set_draining(bool is_draining) { is_draining_ = is_draining; }
  /// Ends the process of the endpoint; runs in flight end as `how`.
  void Halt(RunEnd how);
  /// Begins to serve as this generation.
  void Start(Generation generation);

  const VmId& vm() const { return vm_; }
  bool is_up() const { return is_up_; }
  bool is_draining() const { return is_draining_; }
  Generation generation() const { return generation_; }
  std::uint32_t slots() const { return slots_; }
  std::uint32_t active() const {
    return static_cast<std::uint32_t>(active_.size());
  }
  /// Largest number of requests that ran at once.
  std::uint32_t max_active() const { return max_active_; }
  const std::vector<EndpointRun>& runs() const { return runs_; }
  CallTransport& transport() { return transport_; }

 private:
  using Respond = std::function<void(Result<EndpointResponse>)>;
  struct Active {
    TimerId timer = 0;
    Respond respond;
  };

  void Receive(const std::string& sender, const EndpointRequest& request,
               EndpointMisbehaviour how, const Respond& respond);
  void Finish(std::size_t run, EndpointMisbehaviour how);

  VmId vm_;
  VirtualTimerService& world_;
  CallTransport transport_;
  std::uint32_t slots_;
  bool is_up_ = true;
  bool is_draining_ = false;
  Generation generation_{1};
  EndpointMisbehaviour misbehaviour_ = EndpointMisbehaviour::kNone;
  std::uint32_t misbehaviours_left_ = 0;
  std::uint32_t max_active_ = 0;
  /// Key: index in runs_.
  std::map<std::size_t, Active> active_;
  std::vector<EndpointRun> runs_;
};

}  // namespace pomelomill::testing
