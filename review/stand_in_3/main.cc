// Plays a case of the third review with processes of the product:
//   review_case CASE BINARY DIRECTORY TROUBLE
// TROUBLE 0 leaves the disruption out. Writes DIRECTORY/record.txt, and the
// settings and logs of the entries beside it. Exits with 1 if the rule was
// broken, 0 if it held and 2 if the case could not run.

#include <algorithm>
#include <csignal>
#include <exception>
#include <functional>
#include <iostream>
#include <memory>
#include <string>
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
constexpr const char* kPrefix = "/p/";
constexpr const char* kPoolName = "soak";
constexpr int kEntries = 4;
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

/// Store, runners, entries and callers of one small deployment.
class World {
 public:
  explicit World(const std::string& directory)
      : record_(directory + "/record.txt"),
        store_(kEntries + 1, [this](const auto& it) { record_.Note(it); }),
        line_(store_.address(kEntries)),
        machines_([this](const WireRequest& it) { return OnMachines(it); }) {
    store_.PutConfig(kHost, kPrefix);
  }

  /// `kinds` has the kind of each runner.
  void Start(const std::string& binary, const std::string& directory,
             const std::vector<std::string>& kinds) {
    // Each port is in use before the next free one is looked for.
    for (std::size_t i = 0; i < kinds.size(); ++i) {
      runners_.push_back(std::make_unique<Runner>(
          "i-" + std::to_string(i),
          Runner::Options{{kinds[i], "r" + std::to_string(i / 4)}, kPoolName},
          line_, record_));
      runners_.back()->Boot();
    }
    for (int i = 0; i < kEntries; ++i) {
      entries_.push_back(std::make_unique<EntryProcess>(
          i,
          soak::EntryOptions{
              .binary = binary,
              .directory = directory,
              .store_address = store_.address(static_cast<std::size_t>(i)),
              .machines_address = machines_.address()},
          record_));
      entries_.back()->Launch();
    }
    Await("all entries are ready", kStartTimeoutMs, [this] {
      return std::all_of(entries_.begin(), entries_.end(),
                         [](const auto& it) { return it->IsReady(); });
    });
    // The owner calls all runners before the case begins.
    Submit("00000000000000aa", {{"count", 1}, {"cpu", 100}}, "100");
    Await("a first submission is complete", kStartTimeoutMs, [this] {
      SleepMillis(kStatePauseMs);
      return State("00000000000000aa") == "complete";
    });
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

  /// Returns the status of the answer of an entry that is up.
  WireReply Call(const std::string& method, const std::string& target,
                 const std::string& body = "", std::size_t entry = kEntries) {
    for (std::size_t i = 0; entry == kEntries && i < entries_.size(); ++i)
      if (entries_[i]->pid() != 0) entry = i;
    WireReply reply = WireClient(entries_.at(entry)->callers())
                          .Call(method, target, body, kCallTimeoutMs);
    record_.Note("entry-" + std::to_string(entry) + ": " + method + " " +
                 target + " -> " + std::to_string(reply.status) + " " +
                 reply.body);
    return reply;
  }

  void Submit(const std::string& id, Json step, const std::string& spec) {
    step["memMb"] = 64;
    const Json body = {{"spec", spec}, {"steps", Json::array({step})}};
    const int status = Call("POST", kPrefix + id, body.dump()).status;
    record_.Attempted(id, status);
    if (status != 200) throw CouldNotRun("submission not accepted");
  }

  std::string State(const std::string& id) {
    const WireReply reply = Call("GET", kPrefix + id);
    const Json json = Json::parse(reply.body, nullptr, false);
    return json.is_object() ? json.value("state", "") : "";
  }

  bool HasBegun(const std::string& submission) {
    return std::any_of(runners_.begin(), runners_.end(), [&](const auto& it) {
      return it->StartsOf(submission) > 0;
    });
  }

  /// Ends the entry that owns the pool, for good.
  void KillOwner() {
    const std::string owner =
        line_.Get(std::string("cluster/owners/") + kPoolName);
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      if (owner.find("\"entry-" + std::to_string(i) + "\"") ==
          std::string::npos)
        continue;
      entries_[i]->Kill();
      return;
    }
    throw CouldNotRun("the pool has no owner");
  }

 private:
  WireReply OnMachines(const WireRequest& request) {
    if (request.method != "GET")
      return {.status = 409, .body = R"({"reason":"busy"})"};
    Json machines = Json::array();
    for (const auto& it : runners_) {
      machines.push_back(
          {{"machine", "m-" + it->id()},
           {"pool", kPoolName},
           {"state", "up"},
           {"zone", "z0"},
           {"labels", {"a", "r0"}},
           {"capacity", {{"cpu", 32'000}, {"memMb", 65'536}, {"gpu", 0}}},
           {"id", it->id()}});
    }
    return {.body =
                Json{{"machines", machines}, {"nextToken", nullptr}}.dump()};
  }

  Record record_;
  Store store_;
  StoreLine line_;
  std::vector<std::unique_ptr<Runner>> runners_;
  WireServer machines_;
  std::vector<std::unique_ptr<EntryProcess>> entries_;
};

std::vector<std::string> Kinds(std::size_t runners) {
  return std::vector<std::string>(runners, "a");
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
    const WireReply reply = world.Call("GET", kPrefix);
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
  std::vector<std::string> kinds = Kinds(8);
  auto play = PlayLateStart;
  if (name == "waiting") {
    kinds = Kinds(12);
    kinds.front() = "b";
    play = PlayWaiting;
  } else if (name != "late-start") {
    throw CouldNotRun("no such case: " + name);
  }
  // Not destroyed: the threads of the stand-ins run until the process ends.
  World& world = *new World(directory);
  world.record().Note(has_trouble ? "with the disruption"
                                  : "without the disruption");
  try {
    world.Start(binary, directory, kinds);
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
