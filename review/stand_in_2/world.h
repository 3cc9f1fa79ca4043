#pragma once

#include <atomic>
#include <cstdint>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "store.h"

namespace pomelomill::review {

using Json = nlohmann::json;

/// What was sent, answered and run, with milliseconds since the start.
class Record {
 public:
  explicit Record(const std::string& file) : file_(file) {}
  void Note(const std::string& line);
  std::int64_t Now() const;

 private:
  std::mutex mutex_;
  std::ofstream file_;
  const std::int64_t started_ = platform::stand_in::SteadyMillis();
};

/// A queue of the configuration, at `prefix` of the host "soak.example".
struct QueueSpec {
  std::string name;
  std::string prefix;
  std::string pool;
};

struct WorldOptions {
  /// The program of the deploy file.
  std::string binary = "target/pomelomill";
  std::string directory;
  std::size_t entries = 3;
  std::vector<QueueSpec> queues;
  /// Runners of each pool.
  std::size_t runners = 8;
  int runner_cpu = 32'000;
  /// Entries reach the runners through a network of this process, which can
  /// delay an order and fall silent.
  bool has_network = false;
  /// So many runners of each pool are of the kind "b", the others of "a".
  std::size_t special_runners = 0;
};

/// One run of a work item, as its runner saw it.
struct RunNote {
  std::string machine;
  std::uint32_t run = 0;
  std::int64_t began = 0;
  /// -1 while it runs.
  std::int64_t ended = -1;
  /// "lost" when the runner crashed.
  std::string how;
  bool is_seen = false;
};

struct Answer {
  int status = 0;
  std::string state;
  /// -1 when the answer has none.
  int waiting = -1;
};

/// The network in front of one runner. Each connection of an entry has a thread
/// of its own.
class RunnerGate {
 public:
  RunnerGate();

  std::string address() const { return server_.address(); }
  /// The runner's present process; empty while it is down. Connections that
  /// were open before go silent.
  void SetTarget(const std::string& address);
  /// Keeps the next start of a work item of the submission back, unanswered.
  void KeepStart(const std::string& id);
  bool has_kept();
  /// Whether a process of the runner can be reached.
  bool has_target();
  /// Carries the start out that was kept back. Returns the runner's answer.
  WireReply Deliver();

 private:
  WireReply OnCall(const WireRequest& request);
  [[noreturn]] static void FallSilent();

  std::mutex mutex_;
  std::string target_;
  std::uint64_t epoch_ = 0;
  std::string wanted_;
  std::optional<WireRequest> kept_;
  WireServer server_;
};

/// A small deployment: the project's entries as processes, runners as processes
/// of this program, the store and the clients in this process.
class World {
 public:
  World(const WorldOptions& options, Record& record);
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  Record& record() { return record_; }
  Store& store() { return *store_; }
  std::size_t entries() const { return entries_.size(); }
  /// Waits until each entry reports ready and each pool has an owner. False
  /// when that takes longer than 20 s.
  bool AwaitReady();

  void SignalEntry(std::size_t entry, int signal);
  void StartEntry(std::size_t entry);

  /// The runner's process is killed. After `down_ms` the machine has a new
  /// runner with another id.
  void CrashRunner(std::size_t runner, std::int64_t down_ms);
  /// As CrashRunner(), but the connections to it go silent, and it starts again
  /// under its id.
  void CrashSilently(std::size_t runner, std::int64_t down_ms);
  RunnerGate& gate(std::size_t runner) { return *runners_[runner]->gate; }
  std::size_t runners() const { return runners_.size(); }
  /// Of all runners together, in thousandths of a core.
  std::size_t capacity_cpu() const;

  /// One HTTP request to an entry's caller address, on a new connection.
  Answer Call(std::size_t entry, const std::string& method,
              const std::string& target, const std::string& body = {});
  /// Hands a submission in; repeats it at the next entry as the pages say.
  /// False when no attempt was answered with 2xx.
  bool Submit(const std::string& prefix, const std::string& id,
              const Json& body);
  /// State by a GET at some entry; empty without an answer.
  std::string State(const std::string& prefix, const std::string& id);

  /// All runs so far, by work item.
  std::map<std::string, std::vector<RunNote>> runs();
  std::size_t CountEnds(const std::string& id, const std::string& how);
  /// Work items with a run that ended "done".
  std::size_t CountDone(const std::string& id);
  bool HasRunning(const std::string& id);
  /// Whether any work item of it has been started on a runner.
  bool HasBegun(const std::string& id);

 private:
  struct Entry {
    int pid = 0;
    std::string callers, ready, peers, metrics, settings;
  };
  struct Runner {
    std::string machine, pool, kind, rack, id, address;
    std::int64_t born = 0;
    int pid = 0;
    int lives = 0;
    std::uint64_t sequence = 0;
    std::int64_t up_at = 0;
    bool keeps_id = false;
    std::unique_ptr<RunnerGate> gate;
    std::thread reader;
  };

  void StartRunner(Runner& runner);
  void ReadRunner(Runner& runner, const std::string& id, int fd);
  void Register(Runner& runner, const char* state);
  void OnLine(const std::string& machine, const std::string& line);
  void Tick();
  static void KillProcess(int& pid);
  void StartAll();
  void KillAll();

  static std::atomic<bool> is_interrupted_;

  const WorldOptions options_;
  Record& record_;
  std::unique_ptr<Store> store_;
  std::vector<Entry> entries_;
  std::vector<std::unique_ptr<Runner>> runners_;
  /// Entries of crashed runners, with the time of their removal.
  std::map<std::string, std::int64_t> expiring_;
  std::mutex mutex_;
  std::mutex runs_mutex_;
  std::map<std::string, std::vector<RunNote>> runs_;
  std::size_t next_entry_ = 0;
  bool is_ending_ = false;
  std::thread ticker_;
};

/// A submission's body: steps that follow one another.
Json Submission(int run_ms, int steps, int count, int cpu);
/// A lasting submission.
Json Lasting(int count, int cpu);

}  // namespace pomelomill::review
