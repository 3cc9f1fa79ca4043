#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "pomelomill/base/event_log.h"
#include "pomelomill/base/timer_service.h"
#include "pomelomill/config/job_service_settings.h"
#include "pomelomill/jobserver/fleet_config.h"
#include "pomelomill/jobserver/platform_hooks.h"

namespace asio {
class io_context;
}

namespace pomelomill {

class PersistentHttpClient;

/// Callbacks by which a JobServer reaches its process.
struct JobServerHooks {
  /// Returns Unix time in milliseconds; decides when a timed job is due.
  std::function<std::int64_t()> wall_ms;
  EventHook event;
  /// Stop() is complete: the process may close its connections and exit.
  std::function<void()> on_stopped;
  /// The owners of pools tell all entries their backlog, and submissions are
  /// rejected by it, see docs/design/admission.md.
  bool rejects_overload = false;
};

/// One entry of the job service: the listeners for callers, peers, readiness
/// checks and metrics, and the Coordinator behind them. All work runs on the
/// thread of one Asio context.
class JobServer {
 public:
  JobServer(asio::io_context& context, TimerService& timers,
            PersistentHttpClient& http, const PlatformHooks& platform,
            const JobServiceSettings& settings, IncarnationId incarnation,
            JobServerHooks hooks);
  ~JobServer();
  JobServer(const JobServer&) = delete;
  JobServer& operator=(const JobServer&) = delete;

  /// Opens the listeners and joins the cluster. Fails with
  /// HttpError::kListenFailed when an address cannot be listened on.
  Status Start();
  /// Shuts down gracefully: reports not ready, releases all pools, and calls
  /// on_stopped when no request is open and none has arrived for 1.5 s. Calls
  /// it 0.8 s before the stop grace ends in any case, even with requests open.
  void Stop();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace pomelomill
