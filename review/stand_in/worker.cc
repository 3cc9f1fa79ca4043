#include "worker.h"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>
#include <vector>

#include "http.h"

namespace review {
namespace {

using Json = nlohmann::json;
using Milliseconds = std::chrono::milliseconds;

constexpr std::int64_t kLongestLeaseMs = 10'000;
constexpr int kStopMs = 100;
constexpr int kTickMs = 10;
constexpr int kHeartbeatMs = 1'500;
/// An entry ends after three heartbeats without one.
constexpr int kEntryTtlMs = 3 * kHeartbeatMs;
constexpr std::size_t kEndsPerAnswer = 500;
constexpr std::int64_t kNever = std::int64_t{1} << 60;

struct Run {
  std::uint32_t number = 0;
  std::int64_t ends_at_ms = kNever;
  std::string outcome = "done";
};

class Worker {
 public:
  explicit Worker(WorkerOptions options) : options_(std::move(options)) {}

  Response OnCall(const Request& request) {
    std::unique_lock lock(mutex_);
    const std::string intended = request.Header("expect-instance");
    if (!intended.empty() && intended != options_.id) return {.status = 421};
    const Json body = Json::parse(request.body, nullptr, false);
    if (!body.is_object()) return {.status = 400};
    if (request.path.ends_with("/run-start")) return Start(body);
    if (request.path.ends_with("/run-stop")) return Stop(body);
    if (request.path.ends_with("/hold")) return Hold(lock, body);
    if (request.path.ends_with("/pace")) return Answer();
    if (request.path == "/grey") {
      grey_job_ = request.Query("job");
      grey_ms_ = std::strtoll(request.Query("ms").c_str(), nullptr, 10);
      return Answer();
    }
    return {.status = 404};
  }

  /// Ends the runs that are due; all of them when the lease has expired.
  void Tick() {
    const std::lock_guard lock(mutex_);
    const bool is_lapsed = ClockMs() > deadline_ms_;
    std::vector<std::string> due;
    for (const auto& [task, run] : running_)
      if (is_lapsed || ClockMs() >= run.ends_at_ms) due.push_back(task);
    for (const std::string& it : due)
      End(it, is_lapsed ? "lapsed" : running_[it].outcome);
  }

  void Register() {
    const Json entry = {
        {"service", options_.service},
        {"addr", options_.address},
        {"zone", "z1"},
        {"version", "v1"},
        {"slots", 8},
        {"state", "ready"},
        {"coldLeftMs", 0},
        {"capacity", {{"cpu", 32'000}, {"memMb", 65'536}, {"gpu", 0}}},
        {"labels", {"a", options_.rack}},
        {"clockMs", ClockMs()},
        {"born", born_ms_},
        {"sequence", ++sequence_}};
    Call(options_.operator_address, "POST",
         "/put?key=servers/" + options_.id +
             "&ttlMs=" + std::to_string(kEntryTtlMs),
         "store", entry.dump(), kHeartbeatMs);
  }

 private:
  std::int64_t ClockMs() const { return SteadyMs() - started_ms_ + 1; }

  Response Answer() const {
    return {.body = Json{{"clockMs", ClockMs()}}.dump()};
  }

  Response Refuse(const char* reason) const {
    return {.status = 409,
            .body = Json{{"clockMs", ClockMs()}, {"reason", reason}}.dump()};
  }

  void Record(const std::string& event, const std::string& task,
              std::uint32_t run) {
    std::ofstream(options_.record, std::ios::app)
        << std::to_string(WallMs()) + " worker " + options_.id + " " + event +
               " " + task + " run " + std::to_string(run) + "\n";
  }

  /// Whether the token is too low; remembers the highest one.
  bool IsFenced(const Json& body) {
    const std::uint64_t token = body.value("fenceToken", std::uint64_t{0});
    if (token < token_) return true;
    token_ = token;
    return false;
  }

  void Extend(const Json& body) {
    const std::int64_t wanted = body.value("deadlineMs", std::int64_t{0});
    deadline_ms_ =
        std::max(deadline_ms_, std::min(wanted, ClockMs() + kLongestLeaseMs));
  }

  Response Start(const Json& body) {
    if (SteadyMs() < unhealthy_until_ms_) return {.status = 503};
    if (IsFenced(body)) return Refuse("fence");
    const std::string task = body["task"];
    const std::uint32_t number = body["run"];
    if (body["deadlineMs"] < ClockMs()) return Refuse("late");
    Extend(body);
    const auto present = running_.find(task);
    if (present != running_.end() && present->second.number == number)
      return Answer();
    if (present != running_.end() || number <= highest_ended_[task])
      return Refuse("old");
    Run run{.number = number};
    const std::string spec = body.value("spec", "");
    if (spec.starts_with("ms="))
      run.ends_at_ms = ClockMs() + std::strtoll(spec.c_str() + 3, nullptr, 10);
    if (spec.ends_with(";fails=" + options_.rack)) run.outcome = "failed";
    running_[task] = run;
    Record("start", task, number);
    if (!grey_job_.empty() && task.starts_with(grey_job_)) {
      grey_job_.clear();
      unhealthy_until_ms_ = SteadyMs() + grey_ms_;
      return {.is_reset = true};
    }
    return Answer();
  }

  Response Stop(const Json& body) {
    if (IsFenced(body)) return Refuse("fence");
    const std::string task = body["task"];
    const std::uint32_t number = body["run"];
    const auto it = running_.find(task);
    if (it != running_.end() && it->second.number == number) {
      it->second.ends_at_ms =
          std::min(it->second.ends_at_ms, ClockMs() + kStopMs);
      it->second.outcome = "stopped";
    }
    highest_ended_[task] = std::max(highest_ended_[task], number);
    return Answer();
  }

  void End(const std::string& task, const std::string& outcome) {
    const std::uint32_t number = running_[task].number;
    running_.erase(task);
    highest_ended_[task] = std::max(highest_ended_[task], number);
    ended_.push_back({++last_end_, task, number, outcome, ""});
    Record(outcome, task, number);
    ended_changed_.notify_all();
  }

  Response Hold(std::unique_lock<std::mutex>& lock, const Json& body) {
    if (IsFenced(body)) return Refuse("fence");
    Extend(body);
    const std::uint64_t seen = body.value("lastSeen", std::uint64_t{0});
    std::erase_if(ended_, [&](const Json& it) { return it[0] <= seen; });
    ended_changed_.wait_for(lock, Milliseconds(body.value("waitMs", 0)),
                            [this] { return !ended_.empty(); });
    Json running = Json::array();
    for (const auto& [task, run] : running_)
      running.push_back({task, run.number, "", 100, 1'000});
    Json ended = Json::array();
    for (const Json& it : ended_)
      if (ended.size() < kEndsPerAnswer) ended.push_back(it);
    return {.body = Json{
                {"clockMs", ClockMs()},
                {"born", born_ms_},
                {"running", running},
                {"ended",
                 ended}}.dump()};
  }

  const WorkerOptions options_;
  const std::int64_t started_ms_ = SteadyMs();
  const std::int64_t born_ms_ = WallMs();
  std::mutex mutex_;
  std::condition_variable ended_changed_;
  std::map<std::string, Run> running_;
  std::map<std::string, std::uint32_t> highest_ended_;
  std::vector<Json> ended_;
  std::uint64_t last_end_ = 0;
  std::uint64_t token_ = 0;
  std::uint64_t sequence_ = 0;
  std::int64_t deadline_ms_ = 0;
  /// The job whose next start is carried out without an answer; then starts are
  /// rejected for `grey_ms_`.
  std::string grey_job_;
  std::int64_t grey_ms_ = 0;
  std::int64_t unhealthy_until_ms_ = 0;
};

}  // namespace

int RunWorker(const WorkerOptions& options) {
  // Never destroyed: the threads of the connections use it.
  Worker& worker = *new Worker(options);
  Serve(options.address,
        [&worker](const Request& request) { return worker.OnCall(request); });
  std::thread([&worker] {
    while (true) {
      worker.Register();
      std::this_thread::sleep_for(Milliseconds(kHeartbeatMs));
    }
  }).detach();
  while (true) {
    std::this_thread::sleep_for(Milliseconds(kTickMs));
    worker.Tick();
  }
}

}  // namespace review
