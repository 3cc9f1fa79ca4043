#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "record.h"
#include "wire.h"

namespace pomelomill::soak {

/// The next `calls` calls of kind `call` ("run-start", "run-stop" or "hold")
/// are carried out, `late_ms` after their arrival, and their connections end
/// without an answer. For `sick_ms` from the first on, the worker answers
/// starts (all calls with `is_all`) with `sick_status`; 0 means that it carries
/// them out `slow_ms` late.
struct WorkerTrouble {
  std::string call;
  Ending ending = Ending::kReset;
  int calls = 0;
  std::int64_t late_ms = 0;
  std::int64_t sick_ms = 0;
  int sick_status = 503;
  std::int64_t slow_ms = 0;
  bool is_all = false;
};

/// A worker of the contract, in this process. The payload of a task is its
/// duration in milliseconds.
class Worker {
 public:
  /// `clock_rate` is the speed of its clock, 0.98 to 1.
  Worker(std::string id, std::string rack, double clock_rate, Record& record);

  const std::string& id() const { return id_; }
  WireServer& server() { return server_; }
  void Afflict(const WorkerTrouble& trouble);
  /// Its entry in the store.
  nlohmann::json Entry();

 private:
  using Json = nlohmann::json;

  struct Run {
    std::uint32_t number = 0;
    std::int64_t ends_at = 0;
    std::string outcome = "done";
  };

  WireReply OnCall(const WireRequest& request);
  WireReply CarryOut(const std::string& call, const Json& body);
  WireReply Start(const Json& body);
  WireReply Stop(const Json& body);
  WireReply Hold(const Json& body);
  WireReply Answer() const;
  WireReply Reject(const char* reason) const;
  bool IsFenced(const Json& body);
  void Extend(const Json& body);
  void Tick();
  std::int64_t Clock() const;

  const std::string id_;
  const std::string rack_;
  const double clock_rate_;
  Record& record_;
  const std::int64_t started_ = SteadyMillis();
  const std::int64_t born_ = UnixMillis();
  std::mutex mutex_;
  std::condition_variable ended_changed_;
  std::map<std::string, Run> running_;
  std::map<std::string, std::uint32_t> highest_ended_;
  std::map<std::uint64_t, Json> ended_;
  std::uint64_t last_end_ = 0;
  std::uint64_t token_ = 0;
  std::uint64_t sequence_ = 0;
  std::int64_t deadline_ = 0;
  WorkerTrouble trouble_;
  std::int64_t sick_until_ = 0;
  WireServer server_;
};

}  // namespace pomelomill::soak
