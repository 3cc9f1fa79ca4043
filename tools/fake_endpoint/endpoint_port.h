#pragma once

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "pomelomill/base.h"

namespace pomelomill::fake_endpoint {

enum class Mode {
  kNormal,
  /// Ten times the service time.
  kSlow,
  /// 500 at once.
  kFailing,
  /// Runs the request, sends half of the response and closes.
  kTruncated,
  /// Runs the request and closes without a response.
  kCloseBeforeResponse,
  /// Reads a second request on a connection and closes without running it.
  kCloseReused,
  /// Refuses with Pomelomill-Not-Processed.
  kDraining,
  /// The VM is off: closes every connection without reading a request.
  kDown,
};

/// The mode with this name ("normal", "slow", "failing", "truncated", "close",
/// "close-reused", "draining", "down"); false when there is none.
bool ParseMode(std::string_view name, Mode& mode);

struct EndpointOptions {
  std::uint32_t slots = 8;
  std::uint32_t connections = 64;
  Duration service_mean = std::chrono::milliseconds(100);
  /// "fixed" or "exponential".
  bool is_exponential = true;
  /// The endpoint closes every connection for this time after its start.
  Duration cold_start{0};
};

/// One request that was run.
struct RunRecord {
  std::string id;
  std::string key;
  std::string target;
  /// Whether the whole response was handed to the connection.
  bool is_answered = false;
};

/// One endpoint: the endpoint protocol on one port, with an admin path under
/// /-/ and a record of the requests that it has run.
///
///   POST /-/mode?NAME     switches the mode
///   POST /-/admin?mode=M&generation=G
///                         what the platform does to the VM: M is draining,
///                         down (requests that still run are cut) or up
///   GET  /-/counters      {"cut", "refused", "peak"}
///   POST /-/restart       raises the generation, ends draining, cold start
///   GET  /-/records       one line "ID KEY TARGET STATE" for each run
///   POST /-/clear         empties the record
class EndpointPort {
 public:
  EndpointPort(asio::io_context& context, TimerService& timers,
               std::uint16_t port, EndpointOptions options, std::uint64_t seed);

  /// What a connection does with one request.
  struct Reply {
    Duration delay{0};
    std::string text;
    bool closes = false;
    /// Occupies a slot until the delay has passed.
    bool is_run = false;
    std::size_t record = 0;
  };

  Reply Handle(const std::string& method, const std::string& target,
               const std::string& id, const std::string& key, bool is_reused);
  void OnRunEnded(const Reply& reply, bool is_answered);
  /// Highest number of requests that ran at once.
  std::uint32_t peak() const { return peak_; }

  TimerService& timers() { return timers_; }
  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  const std::deque<RunRecord>& records() const { return records_; }

 private:
  void Accept();
  Reply HandleAdmin(const std::string& method, const std::string& target);
  Reply HandlePlatform(const std::string& query);
  Reply Refuse() const;
  Duration ServiceTime();

  TimerService& timers_;
  asio::ip::tcp::acceptor acceptor_;
  EndpointOptions options_;
  Random random_;
  Mode mode_ = Mode::kNormal;
  std::uint64_t generation_ = 1;
  Instant warm_at_{};
  std::uint32_t active_ = 0;
  std::uint32_t peak_ = 0;
  /// Each connection holds a copy. Connections end after this object when the
  /// context is destroyed with operations that are still waiting.
  std::shared_ptr<std::size_t> open_connections_ =
      std::make_shared<std::size_t>(0);
  std::uint64_t refused_ = 0;
  /// Requests that ran when the VM went down.
  std::uint64_t cut_ = 0;
  std::deque<RunRecord> records_;
};

}  // namespace pomelomill::fake_endpoint
