#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "pomelomill/base.h"
#include "pomelomill/http.h"

namespace pomelomill::load {

/// The idempotency key of a request.
enum class KeyKind {
  kNone,
  /// Issued by one entry; the request is sent to another one.
  kIssued,
  /// Chosen by the caller.
  kOwn,
};

/// One queue that the generator sends to.
struct QueueLoad {
  /// "SERVICE/QUEUE".
  std::string queue;
  double mean_rate = 10;
  /// True for requests that must run at most once.
  bool is_order = false;
  KeyKind key = KeyKind::kNone;
};

struct LoadOptions {
  /// "http://ip:port" of the entries; requests take turns.
  std::vector<std::string> targets;
  /// Addresses that answer 200 while the target of the same position is
  /// ready, as a load balancer asks them. Empty: all targets are ready.
  std::vector<std::string> readiness;
  Duration readiness_interval = std::chrono::milliseconds(500);
  std::vector<QueueLoad> queues;
  Duration duration = std::chrono::seconds(30);
  /// Each queue in turn has its peak for this time.
  Duration peak = std::chrono::seconds(5);
  /// Rates at the peak and in the turn after it, as multiples of the mean.
  double peak_factor = 5;
  double rest_factor = 0.05;
  Duration timeout = std::chrono::seconds(10);
  std::uint64_t seed = 1;
  /// Prefix of request ids; must differ between generators of one run.
  std::string prefix = "r";
};

enum class CallResult {
  /// 200 with the body of this request.
  kAnsweredWhole,
  /// Another complete response of an endpoint.
  kAnsweredOther,
  /// A response that belongs to another request.
  kWrong,
  kNotRun,
  kUnknown,
  /// No complete response from the entry.
  kBroken,
};

struct CallRecord {
  std::string queue;
  bool is_order = false;
  CallResult result = CallResult::kBroken;
  /// When it was sent, since the start of the run.
  Duration started{};
  Duration latency{};
  /// The reason that the entry gave for a response of its own.
  std::string reason;
};

/// Sends requests with exponential gaps, per queue, with peaks in turn, and
/// records how each ended. Open loop: a slow entry does not slow it down.
class LoadRun {
 public:
  LoadRun(HttpClient& client, TimerService& timers, LoadOptions options);

  /// `done` runs once all responses are there.
  void Start(std::function<void()> done);

  /// By request id.
  const std::map<std::string, CallRecord>& calls() const { return calls_; }
  std::size_t open() const { return open_; }

 private:
  void ScheduleNext(std::size_t queue);
  double RateOf(std::size_t queue) const;
  void Call(std::size_t queue);
  void Send(const std::string& id, std::uint64_t target, std::size_t tries);
  /// Asks an entry for a key and sends the request to the next entry.
  void AskForKey(const std::string& id, std::uint64_t target);
  /// Sends a request with a key, of one caller in ten twice at once; a caller
  /// that learned no outcome asks again with the same key.
  void SendKeyed(const std::string& id, const std::string& key,
                 std::uint64_t target, std::size_t tries);
  HttpRequest RequestFor(const std::string& id, std::uint64_t target) const;
  /// Records a response unless the request already has its whole answer.
  void Note(const std::string& id, const HttpResult& result);
  void Finish(const std::string& id, const HttpResult& result);
  void AskReadiness(std::size_t target);
  /// The first target from `target` on that is ready; `target` if none is.
  std::uint64_t ReadyFrom(std::uint64_t target) const;
  void CheckDone();

  HttpClient& client_;
  TimerService& timers_;
  LoadOptions options_;
  Random random_;
  std::function<void()> done_;
  Instant start_{};
  std::uint64_t next_id_ = 1;
  std::size_t open_ = 0;
  std::size_t sending_ = 0;
  std::map<std::string, CallRecord> calls_;
  std::vector<bool> is_ready_;
};

}  // namespace pomelomill::load
