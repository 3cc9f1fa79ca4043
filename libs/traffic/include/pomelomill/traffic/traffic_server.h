#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "pomelomill/base.h"
#include "pomelomill/http/http_listener.h"
#include "pomelomill/routing.h"

namespace asio {
class io_context;
}

namespace pomelomill {

class MetricRegistry;

struct TrafficOptions {
  RouterOptions router;
  KeyIssuerOptions keys;
  HttpListenerOptions callers;
  HttpListenerOptions admin;
  Duration report_interval = std::chrono::milliseconds(250);
  /// A graceful stop keeps serving new requests for this time, until the load
  /// balancer has stopped sending them.
  Duration drain_delay = std::chrono::seconds(2);
};

/// Callbacks into the rest of the entry; they run on the traffic thread.
struct TrafficHooks {
  /// Receives load and in-flight counts once per report interval.
  std::function<void(LoadReport)> on_report;
  /// Handles a request on the admin port; may respond after it has returned.
  std::function<void(IncomingRequest, RespondHook)> on_admin;
  /// Forwards a request to the entry incarnation that issued its key and passes
  /// the response to the caller. Without this hook, or when that incarnation no
  /// longer exists, the outcome is unknown and the request never runs.
  std::function<void(IncarnationId, IncomingRequest, RespondHook)>
      forward_keyed;
  /// Claims a caller-chosen key and calls `done` once on the traffic thread.
  /// Without this hook, requests with such keys are refused as not run.
  std::function<void(std::string key, std::function<void(ClaimResult)> done)>
      claim_key;
  /// Ends a request whose claim was kMayRun.
  std::function<void(std::string key, KeyOutcome)> finish_key;
};

/// State of the data plane for monitoring.
struct TrafficStatus {
  RouterCounters counters;
  std::vector<QueueStatus> queues;
  LoadReport load;
  std::size_t open_requests = 0;
  std::size_t open_connections = 0;
  bool is_draining = false;
};

/// The data plane of one entry: accepts requests from callers, passes them to
/// the router and executes the router's actions. Runs on the thread that runs
/// `context` (the traffic thread); only Post(), RunForPeer() and Drain() may be
/// called from other threads.
class TrafficServer {
 public:
  TrafficServer(asio::io_context& context, TimerService& timers,
                TrafficOptions options, TrafficHooks hooks);
  /// Closes all connections without waiting for open requests; call Drain()
  /// first for a graceful stop.
  ~TrafficServer();

  /// Starts listening for callers and admin requests. Returns an error when a
  /// listener cannot be started.
  Status Start();

  /// Passes an event of the control thread to the router: declarations, a
  /// region state, a send permit, a peer's load, a leaving endpoint or a slot
  /// loan.
  void Post(RouterEvent event);

  /// Runs a request that a peer has forwarded (RunKeyed) because this entry
  /// issued its key. `respond` runs once on the traffic thread.
  void RunForPeer(IncomingRequest request, RespondHook respond);

  /// Stops gracefully: keeps serving for `drain_delay`, then takes no new
  /// requests, finishes the open ones and runs `done` once on the traffic
  /// thread.
  void Drain(std::function<void()> done);

  std::uint16_t port() const;
  std::uint16_t admin_port() const;
  TrafficStatus status() const;
  /// Returns a copy of the request metrics that any thread may read.
  std::shared_ptr<const MetricRegistry> metrics() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace pomelomill
