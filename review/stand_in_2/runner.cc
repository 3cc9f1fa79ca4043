#include "runner.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <limits>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "../../platform/stand_in/wire.h"
#include "text.h"

namespace pomelomill::review {
namespace {

using Json = nlohmann::json;
using platform::stand_in::SleepMillis;
using platform::stand_in::SteadyMillis;
using platform::stand_in::UnixMillis;
using platform::stand_in::WireReply;
using platform::stand_in::WireRequest;
using platform::stand_in::WireServer;

constexpr std::int64_t kHoldMaxMs = 6'000;
constexpr std::int64_t kStopMs = 100;
constexpr std::int64_t kStartupMs = 500;
constexpr std::int64_t kTickMs = 5;
constexpr std::size_t kEndsOfAnswer = 500;
constexpr int kAtWorkPercent = 100;

class Runner {
 public:
  explicit Runner(std::string id)
      : id_(std::move(id)), server_([this](const WireRequest& request) {
          return OnCall(request);
        }) {
    Print("ready " + server_.address() + " " + std::to_string(born_));
  }

  void Run() {
    // Ends with the process that started it.
    while (getppid() == parent_) {
      SleepMillis(kTickMs);
      Tick();
    }
  }

 private:
  struct ActiveRun {
    std::uint32_t number = 0;
    std::int64_t began_at = 0;
    std::int64_t ends_at = 0;
    bool lasts = false;
    std::string how = "done";
  };

  static void Print(const std::string& line) {
    std::puts(line.c_str());
    std::fflush(stdout);
  }

  WireReply OnCall(const WireRequest& request) {
    const auto intended = request.headers.find("expect-instance");
    if (intended != request.headers.end() && intended->second != id_)
      return {.status = 421};
    const Json body = Json::parse(request.body, nullptr, false);
    if (!body.is_object()) return {.status = 400};
    if (request.path.ends_with("/run-start")) return Start(body);
    if (request.path.ends_with("/run-stop")) return Stop(body);
    if (request.path.ends_with("/hold")) return Hold(body);
    return {.status = 404};
  }

  WireReply Start(const Json& body) {
    const std::lock_guard lock(mutex_);
    if (IsFenced(body)) return Reject("fence");
    const std::string task = body.at("task");
    const std::uint32_t number = body.at("run");
    if (body.at("deadlineMs") < Clock()) return Reject("late");
    Extend(body);
    const auto present = running_.find(task);
    if (present != running_.end() && present->second.number == number)
      return Answer();
    if (present != running_.end() || number <= highest_ended_[task])
      return Reject("old");
    const std::int64_t duration =
        std::strtoll(body.value("spec", "").c_str(), nullptr, 10);
    const bool lasts = duration < 0;
    running_[task] = {.number = number,
                      .began_at = Clock(),
                      .ends_at = lasts
                                     ? std::numeric_limits<std::int64_t>::max()
                                     : Clock() + duration,
                      .lasts = lasts};
    Print("start " + task + " " + std::to_string(number));
    return Answer();
  }

  WireReply Stop(const Json& body) {
    const std::lock_guard lock(mutex_);
    if (IsFenced(body)) return Reject("fence");
    const std::string task = body.at("task");
    const std::uint32_t number = body.at("run");
    const auto it = running_.find(task);
    if (it != running_.end() && it->second.number == number) {
      it->second.ends_at = std::min(it->second.ends_at, Clock() + kStopMs);
      it->second.how = "stopped";
    }
    highest_ended_[task] = std::max(highest_ended_[task], number);
    return Answer();
  }

  WireReply Hold(const Json& body) {
    std::unique_lock lock(mutex_);
    if (IsFenced(body)) return Reject("fence");
    Extend(body);
    const std::uint64_t seen = body.value("lastSeen", std::uint64_t{0});
    while (!ended_.empty() && ended_.begin()->first <= seen) {
      const Json& end = ended_.begin()->second;
      Print("seen " + end[1].get<std::string>() + " " + end[2].dump() + " " +
            end[3].get<std::string>());
      ended_.erase(ended_.begin());
    }
    ended_changed_.wait_for(lock,
                            std::chrono::milliseconds(body.value("waitMs", 0)),
                            [this] { return !ended_.empty(); });
    Json running = Json::array();
    for (const auto& [task, run] : running_) {
      const bool is_at_work =
          !run.lasts || Clock() - run.began_at >= kStartupMs;
      running.push_back(
          {task, run.number, "", is_at_work ? kAtWorkPercent : 0, 0});
    }
    Json ended = Json::array();
    for (const auto& [number, end] : ended_) {
      if (ended.size() == kEndsOfAnswer) break;
      ended.push_back(end);
    }
    return {.body = Json{{"clockMs", Clock()},
                         {"born", born_},
                         {"running", std::move(running)},
                         {"ended", std::move(ended)}}
                        .dump()};
  }

  WireReply Answer() const {
    return {.body = Json{{"clockMs", Clock()}}.dump()};
  }

  WireReply Reject(const char* reason) const {
    return {.status = 409,
            .body = Json{{"clockMs", Clock()}, {"reason", reason}}.dump()};
  }

  bool IsFenced(const Json& body) {
    const std::uint64_t token = body.value("fenceToken", std::uint64_t{0});
    if (token < token_) return true;
    token_ = token;
    return false;
  }

  void Extend(const Json& body) {
    const std::int64_t wanted = body.value("deadlineMs", std::int64_t{0});
    deadline_ = std::max(deadline_, std::min(wanted, Clock() + kHoldMaxMs));
  }

  void Tick() {
    const std::lock_guard lock(mutex_);
    const bool is_lapsed = Clock() > deadline_;
    for (auto it = running_.begin(); it != running_.end();) {
      const auto& [task, run] = *it;
      if (!is_lapsed && Clock() < run.ends_at) {
        ++it;
        continue;
      }
      const std::string how = is_lapsed ? "lapsed" : run.how;
      highest_ended_[task] = std::max(highest_ended_[task], run.number);
      ++last_end_;
      ended_[last_end_] = {last_end_, task, run.number, how, ""};
      Print(Text("end ", task, " ", run.number, " ", how));
      it = running_.erase(it);
      ended_changed_.notify_all();
    }
  }

  std::int64_t Clock() const { return SteadyMillis() - started_ + 1; }

  const pid_t parent_ = getppid();
  const std::string id_;
  const std::int64_t started_ = SteadyMillis();
  const std::int64_t born_ = UnixMillis();
  std::mutex mutex_;
  std::condition_variable ended_changed_;
  std::map<std::string, ActiveRun> running_;
  std::map<std::string, std::uint32_t> highest_ended_;
  std::map<std::uint64_t, Json> ended_;
  std::uint64_t last_end_ = 0;
  std::uint64_t token_ = 0;
  std::int64_t deadline_ = 0;
  WireServer server_;
};

}  // namespace

int ServeRunner(const std::string& id) {
  Runner runner(id);
  runner.Run();
  // The server's threads never end.
  std::_Exit(0);
}

}  // namespace pomelomill::review
