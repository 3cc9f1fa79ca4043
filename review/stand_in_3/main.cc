// Plays a case of the third review with processes of the product:
//   review_case CASE BINARY DIRECTORY TROUBLE
// TROUBLE 0 leaves the disruption out. Writes DIRECTORY/record.txt, and the
// settings and logs of the entries beside it. Exits with 1 if the rule was
// broken, 0 if it held and 2 if the case could not run.

#include <algorithm>
#include <atomic>
#include <cctype>
#include <csignal>
#include <exception>
#include <functional>
#include <iostream>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "../../platform/stand_in/store.h"
#include "../../platform/stand_in/wire.h"
#include "../../tools/soak/entry_process.h"
#include "../../tools/soak/record.h"
#include "runner.h"

namespace pomelomill::review {
namespace {

using platform::stand_in::SleepMillis;
using platform::stand_in::SteadyMillis;
using platform::stand_in::Store;
using platform::stand_in::WireClient;
using platform::stand_in::WireReply;
using platform::stand_in::WireRequest;
using platform::stand_in::WireServer;
using soak::EntryProcess;
using soak::Record;
using Json = nlohmann::json;

constexpr const char* kHost = "soak.example";
constexpr std::size_t kMaxEntries = 4;
constexpr std::int64_t kStartTimeoutMs = 20'000;
/// Time budget of the callers of the sheets.
constexpr std::int64_t kCallTimeoutMs = 3'000;
constexpr std::int64_t kPollMs = 2;
constexpr std::int64_t kStatePauseMs = 300;

class CouldNotRun : public std::exception {
 public:
  explicit CouldNotRun(std::string reason) : reason_(std::move(reason)) {}
  const char* what() const noexcept override { return reason_.c_str(); }

 private:
  const std::string reason_;
};

struct RunnerShape {
  std::string kind = "a";
  std::size_t pool = 0;
};

/// What a case is played on.
struct Shape {
  std::vector<RunnerShape> runners;
  std::size_t entries = kMaxEntries;
  std::size_t pools = 1;
};

std::string PoolName(std::size_t pool) { return "pool" + std::to_string(pool); }

std::string Prefix(std::size_t pool) {
  return "/p" + std::to_string(pool) + "/";
}

std::string Escape(const std::string& text) {
  std::string escaped;
  for (const char c : text) {
    if (std::isalnum(static_cast<unsigned char>(c)) != 0) {
      escaped += c;
      continue;
    }
    constexpr std::string_view kHex = "0123456789ABCDEF";
    const auto byte = static_cast<unsigned char>(c);
    escaped += {'%', kHex[byte >> 4U], kHex[byte & 15U]};
  }
  return escaped;
}

/// Passes the calls of an entry on to the store. An answer then takes 4 ms, as
/// the sheets say; the store itself takes 2 ms of them.
class StoreRelay {
 public:
  StoreRelay(std::string store, std::function<void(const WireRequest&)> on_call)
      : store_(std::move(store)),
        on_call_(std::move(on_call)),
        server_([this](const WireRequest& it) { return OnCall(it); }) {}

  std::string address() const { return server_.address(); }

 private:
  WireReply OnCall(const WireRequest& request) const {
    constexpr std::int64_t kTimeoutMs = 35'000;
    constexpr std::int64_t kDelayMs = 2;
    on_call_(request);
    SleepMillis(kDelayMs);
    std::string target = request.path;
    char separator = '?';
    for (const auto& [name, value] : request.parameters) {
      target += separator + name + "=" + Escape(value);
      separator = '&';
    }
    // One thread serves one connection of the entry.
    thread_local std::unique_ptr<WireClient> client;
    if (client == nullptr) client = std::make_unique<WireClient>(store_);
    WireReply reply =
        client->Call(request.method, target, request.body, kTimeoutMs);
    if (reply.status == 0) reply.ending = platform::stand_in::Ending::kClose;
    return reply;
  }

  const std::string store_;
  const std::function<void(const WireRequest&)> on_call_;
  WireServer server_;
};

/// Store, runners, entries and callers of one small deployment.
class World {
 public:
  World(const std::string& directory, const Shape& shape)
      : shape_(shape),
        record_(directory + "/record.txt"),
        store_(kMaxEntries + 1, [this](const auto& it) { record_.Note(it); }),
        line_(store_.address(kMaxEntries)),
        machines_([this](const WireRequest& it) { return OnMachines(it); }) {
    PutConfig(1);
  }

  void Start(const std::string& binary, const std::string& directory) {
    // Each port is in use before the next free one is looked for.
    for (const RunnerShape& it : shape_.runners) {
      const std::size_t i = runners_.size();
      runners_.push_back(std::make_unique<Runner>(
          "i-" + std::to_string(i),
          Runner::Options{{it.kind, "r" + std::to_string(i / 4)},
                          PoolName(it.pool)},
          line_, record_));
      runners_.back()->Boot();
    }
    for (std::size_t i = 0; i < shape_.entries; ++i) {
      relays_.push_back(std::make_unique<StoreRelay>(
          store_.address(i),
          [this](const WireRequest& it) { OnStoreCall(it); }));
      entries_.push_back(std::make_unique<EntryProcess>(
          static_cast<int>(i),
          soak::EntryOptions{.binary = binary,
                             .directory = directory,
                             .store_address = relays_.back()->address(),
                             .machines_address = machines_.address()},
          record_));
      entries_.back()->Launch();
    }
    Await("all entries are ready", kStartTimeoutMs, [this] {
      return std::all_of(entries_.begin(), entries_.end(),
                         [](const auto& it) { return it->IsReady(); });
    });
    // The owners call all runners before the case begins.
    for (std::size_t pool = 0; pool < shape_.pools; ++pool) {
      const std::string id = "00000000000000a" + std::to_string(pool);
      Submit(id, {{"count", 1}, {"cpu", 100}}, "100", {}, pool);
      Await("a first submission is complete", kStartTimeoutMs, [&] {
        SleepMillis(kStatePauseMs);
        return State(id, pool) == "complete";
      });
    }
    SleepMillis(1'000);
  }

  void EndEntries() {
    for (const auto& it : entries_) it->Kill();
  }

  Record& record() { return record_; }
  std::vector<std::unique_ptr<Runner>>& runners() { return runners_; }

  void Await(const std::string& what, std::int64_t timeout_ms,
             const std::function<bool()>& is_met) {
    const std::int64_t end = SteadyMillis() + timeout_ms;
    while (!is_met()) {
      if (SteadyMillis() >= end) throw CouldNotRun("in vain: " + what);
      SleepMillis(kPollMs);
    }
    record_.Note(what);
  }

  /// Calls an entry that is up.
  WireReply Call(const std::string& method, const std::string& target,
                 const std::string& body = "") {
    std::size_t entry = 0;
    for (std::size_t i = 0; i < entries_.size(); ++i)
      if (entries_[i]->pid() != 0) entry = i;
    WireReply reply = WireClient(entries_[entry]->callers())
                          .Call(method, target, body, kCallTimeoutMs);
    record_.Note("entry-" + std::to_string(entry) + ": " + method + " " +
                 target + " -> " + std::to_string(reply.status) + " " +
                 reply.body);
    return reply;
  }

  /// `fields` are further fields of the submission.
  void Submit(const std::string& id, Json step, const std::string& spec,
              Json fields = {}, std::size_t pool = 0) {
    step["memMb"] = 64;
    fields["spec"] = spec;
    fields["steps"] = Json::array({step});
    const int status = Call("POST", Prefix(pool) + id, fields.dump()).status;
    record_.Attempted(id, status);
    if (status != 200) throw CouldNotRun("submission not accepted");
  }

  std::string State(const std::string& id, std::size_t pool = 0) {
    const WireReply reply = Call("GET", Prefix(pool) + id);
    const Json json = Json::parse(reply.body, nullptr, false);
    return json.is_object() ? json.value("state", "") : "";
  }

  bool HasBegun(const std::string& submission) {
    return std::any_of(runners_.begin(), runners_.end(), [&](const auto& it) {
      return it->StartsOf(submission) > 0;
    });
  }

  /// The operator changes the configuration while the next owner reads the
  /// submissions of the pool.
  void ChangeConfigAtNextRead() { changes_config_ = true; }

  /// Ends the entry that owns the most pools, for good.
  void KillOwner() {
    std::vector<std::size_t> owned(entries_.size());
    for (std::size_t pool = 0; pool < shape_.pools; ++pool) {
      const std::string owner = line_.Get("cluster/owners/" + PoolName(pool));
      record_.Note("owner of " + PoolName(pool) + ": " + owner);
      for (std::size_t i = 0; i < entries_.size(); ++i) {
        if (owner.find("\"entry-" + std::to_string(i) + "\"") !=
            std::string::npos)
          ++owned[i];
      }
    }
    const auto most = std::max_element(owned.begin(), owned.end());
    if (*most == 0) throw CouldNotRun("no pool has an owner");
    entries_[static_cast<std::size_t>(most - owned.begin())]->Kill();
  }

 private:
  void OnStoreCall(const WireRequest& request) {
    constexpr std::int64_t kConfigAfterMs = 1;
    if (!request.path.ends_with("/kv-range") ||
        request.Parameter("prefix") != "pools/" + PoolName(0) + "/" ||
        !changes_config_.exchange(false))
      return;
    record_.Note("the next owner reads the submissions");
    std::thread([this] {
      SleepMillis(kConfigAfterMs);
      PutConfig(2);
      record_.Note("the configuration has changed");
    }).detach();
  }

  /// The operator's configuration: one queue for each pool. Versions differ in
  /// the time-out of the queues.
  void PutConfig(int version) {
    Json routes = Json::array();
    Json services = Json::array();
    for (std::size_t pool = 0; pool < shape_.pools; ++pool) {
      routes.push_back({{"name", "queue" + std::to_string(pool)},
                        {"host", kHost},
                        {"prefix", Prefix(pool)},
                        {"kind", "unsafe"},
                        {"timeoutMs", 3'000 + version},
                        {"targetLatencyMs", 600},
                        {"priority", 0},
                        {"service", PoolName(pool)},
                        {"attempts", 4},
                        {"stretch", 2}});
      services.push_back({{"name", PoolName(pool)},
                          {"healthPath", "/health"},
                          {"maxConns", 64},
                          {"protocol", "h1"},
                          {"tls", false},
                          {"enforcesCapacity", false},
                          {"spare", false}});
    }
    line_.Put("op/config",
              {{"version", version},
               {"routes", routes},
               {"services", services},
               {"limits", {{"maxBodyBytes", 262'144}}}},
              0);
  }

  WireReply OnMachines(const WireRequest& request) {
    if (request.method != "GET")
      return {.status = 409, .body = R"({"reason":"busy"})"};
    Json machines = Json::array();
    for (std::size_t i = 0; i < runners_.size(); ++i) {
      const auto& it = runners_[i];
      machines.push_back(
          {{"machine", "m-" + it->id()},
           {"pool", PoolName(shape_.runners[i].pool)},
           {"state", "up"},
           {"zone", "z0"},
           {"labels", {"a", "r0"}},
           {"capacity", {{"cpu", 32'000}, {"memMb", 65'536}, {"gpu", 0}}},
           {"id", it->id()}});
    }
    return {.body =
                Json{{"machines", machines}, {"nextToken", nullptr}}.dump()};
  }

  const Shape shape_;
  std::atomic<bool> changes_config_ = false;
  Record record_;
  Store store_;
  StoreLine line_;
  std::vector<std::unique_ptr<StoreRelay>> relays_;
  std::vector<std::unique_ptr<Runner>> runners_;
  WireServer machines_;
  std::vector<std::unique_ptr<EntryProcess>> entries_;
};

/// TWICE: work items of scheduled submissions that run, or are done, when a
/// pool passes from one owner to the next.
void PlayScheduled(World& world, bool has_trouble) {
  constexpr std::size_t kSubmissions = 16;
  constexpr const char* kDuration = "800";
  constexpr int kOccurrences = 14;
  constexpr std::int64_t kIntervalMs = 1'000;
  constexpr std::int64_t kFirstAfterMs = 2'000;
  constexpr std::int64_t kKillAfterMs = 4'500;
  constexpr std::int64_t kTimeoutMs = 50'000;
  const std::int64_t first_at =
      platform::stand_in::UnixMillis() + kFirstAfterMs;
  std::vector<std::string> submissions;
  for (std::size_t i = 0; i < kSubmissions; ++i) {
    submissions.push_back("0000000000000d" + std::to_string(10 + i));
    world.Submit(submissions.back(),
                 {{"count", 2}, {"cpu", 1'000}, {"estimateMs", 800}}, kDuration,
                 {{"repeatCount", kOccurrences},
                  {"startAtMs", first_at + 50 * static_cast<std::int64_t>(i)},
                  {"intervalMs", kIntervalMs}});
  }
  SleepMillis(first_at + kKillAfterMs - platform::stand_in::UnixMillis());
  if (has_trouble) {
    world.ChangeConfigAtNextRead();
    world.KillOwner();
  }
  world.Await("all submissions are complete", kTimeoutMs, [&] {
    SleepMillis(3 * kStatePauseMs);
    return std::all_of(
        submissions.begin(), submissions.end(),
        [&](const auto& it) { return world.State(it) == "complete"; });
  });
}

/// TWICE: an order to start that is carried out late, by the next boot of its
/// runner, while the pool passes from one owner to the next.
void PlayLateStart(World& world, bool has_trouble) {
  constexpr std::size_t kOthers = 20;
  constexpr const char* kSubmission = "00000000000000f0";
  constexpr const char* kDuration = "9000";
  constexpr std::int64_t kKillAtMs = 1'500;
  constexpr std::int64_t kBootAtMs = 2'500;
  /// Orders that get no answer are carried out 2 to 12 s later.
  constexpr std::int64_t kLateMs = 3'000;
  constexpr std::int64_t kTimeoutMs = 60'000;
  const Json step = {{"count", 1}, {"cpu", 1'000}, {"estimateMs", 9'000}};
  if (has_trouble)
    for (const auto& it : world.runners()) it->KeepNextStart(kSubmission);
  std::vector<std::string> submissions = {kSubmission};
  for (std::size_t i = 0; i < kOthers; ++i)
    submissions.push_back("0000000000000b" + std::to_string(10 + i));
  for (const std::string& it : submissions) world.Submit(it, step, kDuration);
  if (has_trouble) {
    Runner* chosen = nullptr;
    world.Await("an order is on its way", kTimeoutMs, [&] {
      for (const auto& it : world.runners())
        if (it->kept_start()) chosen = it.get();
      return chosen != nullptr;
    });
    for (const auto& it : world.runners()) it->KeepNextStart("");
    const std::int64_t sent_at = SteadyMillis();
    const auto sleep_until = [&](std::int64_t ms) {
      SleepMillis(std::max<std::int64_t>(0, sent_at + ms - SteadyMillis()));
    };
    chosen->Crash();
    sleep_until(kKillAtMs);
    world.KillOwner();
    sleep_until(kBootAtMs);
    chosen->Boot();
    sleep_until(kLateMs);
    chosen->CarryOutKeptStart();
  }
  world.Await("all submissions are complete", kTimeoutMs, [&] {
    SleepMillis(kStatePauseMs);
    return std::all_of(
        submissions.begin(), submissions.end(),
        [&](const auto& it) { return world.State(it) == "complete"; });
  });
}

/// MIXED: submissions that no runner has begun are not counted as waiting.
void PlayWaiting(World& world, bool has_trouble) {
  constexpr std::size_t kSubmissions = 10;
  constexpr const char* kDuration = "500";
  constexpr std::int64_t kUnhealthyMs = 6'500;
  /// `visible_ms` and 2 s, from which the count has to hold.
  constexpr std::int64_t kVisibleMs = 5'000;
  constexpr std::int64_t kPauseMs = 200;
  constexpr std::int64_t kTimeoutMs = 30'000;
  Runner& runner = *world.runners().front();
  const std::int64_t began = SteadyMillis();
  if (has_trouble) runner.SetHealthy(false);
  std::vector<std::string> submissions;
  for (std::size_t i = 0; i < kSubmissions; ++i) {
    submissions.push_back("0000000000000c" + std::to_string(10 + i));
    world.Submit(
        submissions.back(),
        {{"count", 1}, {"cpu", 1'000}, {"estimateMs", 500}, {"requires", "b"}},
        kDuration);
  }
  const std::int64_t accepted = SteadyMillis();
  SleepMillis(kVisibleMs);
  while (SteadyMillis() + kPauseMs < began + kUnhealthyMs) {
    const auto waiting = static_cast<std::size_t>(
        std::count_if(submissions.begin(), submissions.end(),
                      [&](const auto& it) { return !world.HasBegun(it); }));
    const WireReply reply = world.Call("GET", Prefix(0));
    const Json json = Json::parse(reply.body, nullptr, false);
    if (reply.status == 200 &&
        json.value("waiting", std::size_t{0}) * 2 < waiting)
      world.record().Broken("MIXED",
                            "waiting is " + json.dump() + ", and " +
                                std::to_string(waiting) +
                                " submissions have not begun " +
                                std::to_string(SteadyMillis() - accepted) +
                                " ms after they were accepted");
    SleepMillis(kPauseMs);
  }
  runner.SetHealthy(true);
  world.Await("all submissions are complete", kTimeoutMs, [&] {
    SleepMillis(kPauseMs);
    return std::all_of(
        submissions.begin(), submissions.end(),
        [&](const auto& it) { return world.State(it) == "complete"; });
  });
}

int Play(const std::string& name, const std::string& binary,
         const std::string& directory, bool has_trouble) {
  Shape shape;
  auto play = PlayLateStart;
  if (name == "late-start") {
    shape.runners.resize(8);
  } else if (name == "waiting") {
    shape.runners.resize(12);
    shape.runners.front().kind = "b";
    play = PlayWaiting;
  } else if (name == "scheduled") {
    shape.runners.resize(12);
    play = PlayScheduled;
  } else {
    throw CouldNotRun("no such case: " + name);
  }
  // Not destroyed: the threads of the stand-ins run until the process ends.
  World& world = *new World(directory, shape);
  world.record().Note(has_trouble ? "with the disruption"
                                  : "without the disruption");
  try {
    world.Start(binary, directory);
    play(world, has_trouble);
  } catch (...) {
    world.EndEntries();
    throw;
  }
  world.EndEntries();
  const std::vector<std::string> broken = world.record().broken();
  for (const std::string& it : broken) std::cout << it << "\n";
  std::cout << (broken.empty() ? "the rule held\n" : "the rule was broken\n");
  return broken.empty() ? 0 : 1;
}

}  // namespace
}  // namespace pomelomill::review

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  if (arguments.size() != 4) {
    std::cerr << "review_case CASE BINARY DIRECTORY TROUBLE\n";
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  int status = 2;
  try {
    status = pomelomill::review::Play(arguments[0], arguments[1], arguments[2],
                                      arguments[3] != "0");
  } catch (const std::exception& ex) {
    std::cerr << "could not run: " << ex.what() << "\n";
  }
  std::cout.flush();
  std::_Exit(status);
}
