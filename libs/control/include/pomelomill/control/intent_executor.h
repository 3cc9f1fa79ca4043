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

/// Answer of an endpoint's health check.
struct EndpointHealth {
  Generation generation;
  bool is_draining = false;
  /// Requests that it runs at this moment.
  std::uint32_t active = 0;
};

/// What the executor needs from its surroundings.
struct IntentHooks {
  /// Whether the control lease is certain to be held for long enough that a
  /// call made now ends before it can lapse.
  std::function<bool()> has_authority;
  /// Whether no entry can have a request in flight on the VM, or send one,
  /// given that the intent stands in the region state since `since`.
  std::function<bool(const VmId& vm, Version since)> is_drained;
  std::function<void(const VmId& vm, const std::string& address,
                     std::function<void(Result<EndpointHealth>)>)>
      check_health;
  /// Asks for the write that moves the intent out of step `from`.
  std::function<void(const IntentId& id, IntentStep from,
                     Generation generation)>
      advance;
};

struct IntentOptions {
  Duration call_timeout = std::chrono::seconds(2);
  /// Pause between two calls for one intent.
  Duration poll_interval = std::chrono::milliseconds(500);
  /// An endpoint that has not answered a health check for this long runs no
  /// requests that could still be answered, so its VM may be stopped.
  Duration dead_after = std::chrono::seconds(10);
  /// Platform calls and health checks outstanding at once.
  std::size_t max_calls = 16;
};

/// Carries open intents through their steps. Holds no state that must last:
/// a new holder of the control lease starts with an empty executor and goes
/// on from the region state.
class IntentExecutor {
 public:
  IntentExecutor(PlatformClient platform, TimerService& timers,
                 IntentHooks hooks, IntentOptions options = {});
  ~IntentExecutor();

  /// One pass over the open intents of the state in force: at most one call
  /// for each intent.
  void Step(const RegionState& state);

  /// Forgets all progress; responses that are still to come are dropped.
  void Reset();

  std::size_t outstanding_calls() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace pomelomill
