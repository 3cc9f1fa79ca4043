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
  /// After a graceful stop has begun, new requests are still served for this
  /// time, until the load balancer has noticed.
  Duration drain_delay = std::chrono::seconds(2);
};

struct TrafficHooks {
  /// Load and in-flight counts, once per report interval, on the traffic
  /// thread.
  std::function<void(LoadReport)> on_report;
  /// Answers the admin listener, on the traffic thread; the response may be
  /// given later.
  std::function<void(IncomingRequest, RespondHook)> on_admin;
  /// Forwards a request to the entry that issued its key; its response goes to
  /// the caller. Without this hook, and when that entry is dead, the outcome
  /// is unknown and the request never runs.
  std::function<void(IncarnationId, IncomingRequest, RespondHook)>
      forward_keyed;
  /// Claims keys that callers choose; calls `done` once on the traffic thread.
  /// Without this hook such requests are refused as not run.
  std::function<void(std::string key, std::function<void(ClaimResult)> done)>
      claim_key;
  /// Ends a request whose claim was kMayRun.
  std::function<void(std::string key, KeyOutcome)> finish_key;
};

/// What the data plane reports to operators.
struct TrafficStatus {
  RouterCounters counters;
  std::vector<QueueStatus> queues;
  LoadReport load;
  std::size_t open_requests = 0;
  std::size_t open_connections = 0;
  bool is_draining = false;
};

/// The data plane of one entry: accepts callers, asks the router and carries
/// out its actions. Lives on the thread that runs `context`; only Post(),
/// RunForPeer() and Drain() may be called from others.
class TrafficServer {
 public:
  TrafficServer(asio::io_context& context, TimerService& timers,
                TrafficOptions options, TrafficHooks hooks);
  /// Breaks off whatever is open; Drain() first for a graceful stop.
  ~TrafficServer();

  Status Start();

  /// Hands an event of the control thread to the router: a snapshot of
  /// declarations or of the region state, a permit, a peer's load, a leaving
  /// endpoint, a loan.
  void Post(RouterEvent event);

  /// Runs a request with a key that this entry issued, for a peer (RunKeyed).
  /// `respond` runs once on the traffic thread.
  void RunForPeer(IncomingRequest request, RespondHook respond);

  /// Graceful stop: serves for the notice time, then takes no new requests,
  /// finishes those in hand and runs `done` once on the traffic thread.
  void Drain(std::function<void()> done);

  std::uint16_t port() const;
  std::uint16_t admin_port() const;
  TrafficStatus status() const;
  /// Requests and their times; a copy that any thread may read.
  std::shared_ptr<const MetricRegistry> metrics() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace pomelomill
