#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "pomelomill/base/ids.h"
#include "pomelomill/base/result.h"
#include "pomelomill/base/time.h"
#include "pomelomill/control/intent_step.h"
#include "pomelomill/platform/platform_client.h"
#include "pomelomill/platform/region_state.h"

namespace pomelomill {

class TimerService;

/// Response of an endpoint to a health check.
struct EndpointHealth {
  Generation generation;
  /// Whether the endpoint refuses new requests.
  bool is_draining = false;
  /// Requests that the endpoint is running.
  std::uint32_t active = 0;
};

/// Callbacks that the executor uses.
struct IntentHooks {
  /// Whether a platform call made now ends, at its timeout at the latest,
  /// before the control lease can expire.
  std::function<bool()> has_authority;
  /// Whether no entry has a request in flight on the VM or can send one. The
  /// intent is in the region state since version `since`.
  std::function<bool(const VmId& vm, Version since)> is_drained;
  /// Sends a health check to the endpoint at `address` and passes its response
  /// on.
  std::function<void(const VmId& vm, const std::string& address,
                     std::function<void(Result<EndpointHealth>)>)>
      check_health;
  /// Proposes the region state change that moves the intent from step `from`
  /// to the next one. `generation` is the VM's generation as last reported.
  std::function<void(const IntentId& id, IntentStep from,
                     Generation generation)>
      advance;
};

/// Timing and limits of an `IntentExecutor`.
struct IntentOptions {
  Duration call_timeout = std::chrono::seconds(2);
  /// Minimum time between the starts of two calls for one intent.
  Duration poll_interval = std::chrono::milliseconds(500);
  /// An endpoint that has not answered any health check for this long is taken
  /// for unable to answer its requests as well, so its VM may be stopped.
  Duration unreachable_timeout = std::chrono::seconds(10);
  /// Platform calls and health checks outstanding at once.
  std::size_t max_outstanding_calls = 16;
};

/// Executes the steps of open intents by platform calls and health checks.
/// Keeps soft state only: a new holder of the control lease starts with an
/// empty executor and continues from the region state.
class IntentExecutor {
 public:
  IntentExecutor(PlatformClient platform, TimerService& timers,
                 IntentHooks hooks, IntentOptions options = {});
  ~IntentExecutor();

  /// Makes one pass over the open intents of `state`, the current region
  /// state, and starts at most one call for each intent.
  void Step(const RegionState& state);

  /// Discards all progress; responses to outstanding calls are ignored.
  void Reset();

  /// Number of platform calls and health checks without a response.
  std::size_t outstanding_calls() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace pomelomill
