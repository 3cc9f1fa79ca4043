#include "world.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <sstream>
#include <system_error>

#include "../../platform/stand_in/wire.h"
#include "cases.h"
#include "text.h"

namespace pomelomill::review {
namespace {

using platform::stand_in::FreeAddress;
using platform::stand_in::SleepMillis;
using platform::stand_in::SteadyMillis;
using platform::stand_in::WireClient;

constexpr std::int64_t kHeartbeatMs = 1'500;
constexpr std::int64_t kEntryLifetimeMs = 3 * kHeartbeatMs;
constexpr std::int64_t kTickMs = 20;
constexpr std::int64_t kReadyTimeoutMs = 20'000;
/// Time budget of a client's request.
constexpr std::int64_t kBudgetMs = 3'000;
constexpr std::int64_t kRetryPauseMs = 200;
constexpr int kAttempts = 5;
constexpr int kMemoryMb = 131'072;
constexpr std::size_t kRunnersOfRack = 4;
constexpr mode_t kLogMode = 0644;
/// A case may take 120 s.
constexpr std::int64_t kLongestRunMs = 117'000;

Json Config(const std::vector<QueueSpec>& queues) {
  Json routes = Json::array();
  Json services = Json::array();
  std::set<std::string> pools;
  for (const QueueSpec& it : queues) {
    routes.push_back({{"name", it.name},
                      {"host", "soak.example"},
                      {"prefix", it.prefix},
                      {"kind", "unsafe"},
                      {"timeoutMs", 3'000},
                      {"targetLatencyMs", 600},
                      {"priority", 0},
                      {"service", it.pool},
                      {"attempts", 4},
                      {"stretch", 2}});
    if (!pools.insert(it.pool).second) continue;
    services.push_back({{"name", it.pool},
                        {"healthPath", "/health"},
                        {"maxConns", 64},
                        {"protocol", "h1"},
                        {"tls", false},
                        {"enforcesCapacity", false},
                        {"spare", false}});
  }
  return {{"version", 1},
          {"routes", routes},
          {"services", services},
          {"limits", {{"maxBodyBytes", 262'144}}}};
}

int Spawn(const std::string& binary, const std::vector<std::string>& arguments,
          const std::vector<std::string>& environment, int output,
          const std::string& log) {
  std::vector<std::string> words = {binary};
  words.insert(words.end(), arguments.begin(), arguments.end());
  std::vector<char*> argv;
  for (std::string& it : words) argv.push_back(it.data());
  argv.push_back(nullptr);
  std::vector<std::string> variables = environment;
  std::vector<char*> env;
  for (std::string& it : variables) env.push_back(it.data());
  env.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  if (output >= 0) {
    posix_spawn_file_actions_adddup2(&actions, output, STDOUT_FILENO);
  } else {
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, kLogMode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  }
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  pid_t pid = 0;
  const int error = posix_spawn(&pid, binary.c_str(), &actions, nullptr,
                                argv.data(), env.data());
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0)
    throw std::system_error(error, std::generic_category(), binary);
  return pid;
}

std::string OwnBinary() {
  std::array<char, 4096> path{};
  const ssize_t n = readlink("/proc/self/exe", path.data(), path.size() - 1);
  return n < 0 ? "" : std::string(path.data(), static_cast<std::size_t>(n));
}

/// The record leaves the runs of further occurrences out.
constexpr int kNotedOccurrences = 10;

int OccurrenceOf(const std::string& task) {
  const std::size_t dot = task.find('.');
  return dot == std::string::npos ? 0
                                  : static_cast<int>(std::strtol(
                                        task.c_str() + dot + 1, nullptr, 10));
}

std::string JobOf(const std::string& task) {
  return task.substr(0, task.find('.'));
}

}  // namespace

void Record::Note(const std::string& line) {
  const std::lock_guard lock(mutex_);
  file_ << Now() << " " << line << std::endl;
}

std::int64_t Record::Now() const { return SteadyMillis() - started_; }

std::atomic<bool> World::is_interrupted_{false};

RunnerGate::RunnerGate()
    : server_([this](const WireRequest& request) { return OnCall(request); }) {}

void RunnerGate::SetTarget(const std::string& address) {
  const std::lock_guard lock(mutex_);
  target_ = address;
  ++epoch_;
}

void RunnerGate::KeepStart(const std::string& id) {
  const std::lock_guard lock(mutex_);
  wanted_ = id;
}

bool RunnerGate::has_kept() {
  const std::lock_guard lock(mutex_);
  return kept_.has_value();
}

bool RunnerGate::has_target() {
  const std::lock_guard lock(mutex_);
  return !target_.empty();
}

WireReply RunnerGate::Deliver() {
  std::string target;
  WireRequest request;
  {
    const std::lock_guard lock(mutex_);
    target = target_;
    request = *kept_;
  }
  return WireClient(target).Call(request.method, request.path, request.body,
                                 kBudgetMs);
}

void RunnerGate::FallSilent() {
  while (true) SleepMillis(kBudgetMs);
}

WireReply RunnerGate::OnCall(const WireRequest& request) {
  // One thread serves one connection.
  thread_local std::uint64_t epoch_of_connection = 0;
  thread_local std::unique_ptr<WireClient> client;
  std::unique_lock lock(mutex_);
  if (client == nullptr && !target_.empty()) {
    epoch_of_connection = epoch_;
    client = std::make_unique<WireClient>(target_);
  }
  bool is_silent = client == nullptr || epoch_of_connection != epoch_;
  if (!is_silent && !wanted_.empty() && request.path.ends_with("/run-start") &&
      request.body.find(wanted_) != std::string::npos) {
    wanted_.clear();
    kept_ = request;
    is_silent = true;
  }
  lock.unlock();
  if (is_silent) FallSilent();
  WireReply reply =
      client->Call(request.method, request.path, request.body, kBudgetMs);
  lock.lock();
  is_silent = reply.status == 0 || epoch_of_connection != epoch_;
  lock.unlock();
  if (is_silent) FallSilent();
  return reply;
}

World::World(const WorldOptions& options, Record& record)
    : options_(options),
      record_(record),
      store_(std::make_unique<Store>(
          options_.entries,
          [this](const std::string& line) { record_.Note(line); })) {
  for (const int it : {SIGTERM, SIGINT})
    std::signal(it, [](int) { is_interrupted_ = true; });
  try {
    StartAll();
  } catch (...) {
    KillAll();
    throw;
  }
  ticker_ = std::thread([this] { Tick(); });
}

void World::StartAll() {
  const Json config = Config(options_.queues);
  store_->Put("op/config", config);
  for (const Json& service : config.at("services")) {
    const std::string pool = service.at("name");
    for (std::size_t i = 0; i < options_.runners; ++i) {
      auto runner = std::make_unique<Runner>();
      if (options_.has_network) runner->gate = std::make_unique<RunnerGate>();
      runner->pool = pool;
      runner->machine = "m-" + pool + "-" + std::to_string(i);
      runner->rack = "r-" + pool + "-" + std::to_string(i / kRunnersOfRack);
      runner->kind = i < options_.special_runners ? "b" : "a";
      runners_.push_back(std::move(runner));
    }
  }
  for (auto& it : runners_) StartRunner(*it);
  for (std::size_t i = 0; i < options_.entries; ++i) {
    Entry entry{.callers = FreeAddress(),
                .ready = FreeAddress(),
                .peers = FreeAddress(),
                .metrics = FreeAddress()};
    entry.settings = options_.directory + "/entry-" + std::to_string(i);
    // deploy/settings.ini.in, filled in.
    std::ofstream(entry.settings + ".ini")
        << "[entry]\nid = entry-" << i << "\nzone = z" << i
        << "\nstop_grace = 6s\n\n[listen]\ncallers = " << entry.callers
        << "\nready = " << entry.ready << "\npeers = " << entry.peers
        << "\nmetrics = " << entry.metrics
        << "\n\n[store]\naddress = " << store_->address(i)
        << "\n\n[fleet]\naddress = " << store_->machines_address()
        << "\n\n[resources]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\n"
           "link_mbps = 1000\n";
    entries_.push_back(std::move(entry));
  }
  for (std::size_t i = 0; i < entries_.size(); ++i) StartEntry(i);
}

void World::KillAll() {
  for (Entry& it : entries_) KillProcess(it.pid);
  for (auto& it : runners_) KillProcess(it->pid);
}

World::~World() {
  {
    const std::lock_guard lock(mutex_);
    is_ending_ = true;
    KillAll();
  }
  ticker_.join();
  for (auto& it : runners_)
    if (it->reader.joinable()) it->reader.join();
  // Threads of the servers still use the store.
  static_cast<void>(store_.release());
}

void World::KillProcess(int& pid) {
  if (pid == 0) return;
  kill(pid, SIGKILL);
  waitpid(pid, nullptr, 0);
  pid = 0;
}

bool World::AwaitReady() {
  const std::int64_t end = SteadyMillis() + kReadyTimeoutMs;
  while (SteadyMillis() < end) {
    SleepMillis(100);
    bool is_ready = true;
    for (const Entry& it : entries_) {
      is_ready =
          is_ready && WireClient(it.ready)
                              .Call("GET", "/pomelomill/ready", "", kBudgetMs)
                              .status == 200;
    }
    for (const QueueSpec& it : options_.queues) {
      is_ready =
          is_ready && !store_->Value("cluster/owners/" + it.pool).empty();
    }
    if (is_ready) return true;
  }
  return false;
}

void World::SignalEntry(std::size_t entry, int signal) {
  const std::lock_guard lock(mutex_);
  int& pid = entries_[entry].pid;
  record_.Note("entry-" + std::to_string(entry) + " gets signal " +
               std::to_string(signal));
  if (pid == 0) return;
  kill(pid, signal);
  if (signal != SIGKILL) return;
  waitpid(pid, nullptr, 0);
  pid = 0;
}

void World::StartEntry(std::size_t entry) {
  const std::lock_guard lock(mutex_);
  Entry& it = entries_[entry];
  if (it.pid != 0) return;
  it.pid = Spawn(options_.binary, {"dispatch"},
                 {"POMELOMILL_SETTINGS=" + it.settings + ".ini"}, -1,
                 it.settings + ".log");
  record_.Note("entry-" + std::to_string(entry) + " starts");
}

void World::StartRunner(Runner& runner) {
  std::array<int, 2> pipe_ends{};
  if (pipe2(pipe_ends.data(), O_CLOEXEC) != 0)
    throw std::system_error(errno, std::generic_category(), "pipe");
  if (!runner.keeps_id) ++runner.lives;
  runner.keeps_id = false;
  const std::string id =
      "i-" + runner.machine.substr(2) + "-" + std::to_string(runner.lives);
  runner.pid = Spawn(OwnBinary(), {"runner", id}, {}, pipe_ends[1], "");
  close(pipe_ends[1]);
  if (runner.reader.joinable()) runner.reader.join();
  runner.reader = std::thread(
      [this, &runner, id, fd = pipe_ends[0]] { ReadRunner(runner, id, fd); });
}

void World::ReadRunner(Runner& runner, const std::string& id, int fd) {
  FILE* const file = fdopen(fd, "r");
  std::array<char, 4096> buf{};
  while (std::fgets(buf.data(), buf.size(), file) != nullptr) {
    std::string line(buf.data());
    while (!line.empty() && line.back() == '\n') line.pop_back();
    if (!line.starts_with("ready ")) {
      OnLine(runner.machine, line);
      continue;
    }
    std::istringstream words(line);
    std::string word, address;
    std::int64_t born = 0;
    words >> word >> address >> born;
    const std::lock_guard lock(mutex_);
    runner.id = id;
    runner.address = runner.gate == nullptr ? address : runner.gate->address();
    if (runner.gate != nullptr) runner.gate->SetTarget(address);
    runner.born = born;
    runner.up_at = 0;
    Register(runner, "up");
    record_.Note(Text("runner ", id, " is up at ", address));
  }
  std::fclose(file);
}

void World::Register(Runner& runner, const char* state) {
  const Json capacity = {
      {"cpu", options_.runner_cpu}, {"memMb", kMemoryMb}, {"gpu", 0}};
  const Json labels = {runner.kind, runner.rack};
  if (std::string(state) == "up") {
    store_->Put("servers/" + runner.id, {{"service", runner.pool},
                                         {"addr", runner.address},
                                         {"zone", "z0"},
                                         {"version", "v1"},
                                         {"slots", 8},
                                         {"state", "ready"},
                                         {"coldLeftMs", 0},
                                         {"capacity", capacity},
                                         {"labels", labels},
                                         {"born", runner.born},
                                         {"sequence", ++runner.sequence}});
  }
  store_->PutMachine(runner.machine, {{"machine", runner.machine},
                                      {"pool", runner.pool},
                                      {"state", state},
                                      {"zone", "z0"},
                                      {"labels", labels},
                                      {"capacity", capacity},
                                      {"id", runner.id}});
}

void World::CrashRunner(std::size_t index, std::int64_t down_ms) {
  {
    const std::lock_guard lock(mutex_);
    Runner& runner = *runners_[index];
    if (runner.pid == 0) return;
    record_.Note("runner " + runner.id + " is killed, back after " +
                 std::to_string(down_ms) + " ms");
    KillProcess(runner.pid);
    expiring_[runner.id] = SteadyMillis() + kEntryLifetimeMs;
    runner.up_at = SteadyMillis() + down_ms;
    Register(runner, "down");
  }
  const std::string machine = runners_[index]->machine;
  const std::lock_guard lock(runs_mutex_);
  for (auto& [task, notes] : runs_) {
    for (RunNote& it : notes) {
      if (it.machine != machine || it.ended >= 0) continue;
      it.ended = record_.Now();
      it.how = "lost";
    }
  }
}

void World::CrashSilently(std::size_t index, std::int64_t down_ms) {
  const std::lock_guard lock(mutex_);
  Runner& runner = *runners_[index];
  record_.Note(Text("runner ", runner.id,
                    " crashes silently and starts again under its id after ",
                    down_ms, " ms"));
  runner.gate->SetTarget("");
  KillProcess(runner.pid);
  runner.keeps_id = true;
  runner.sequence = 0;
  runner.up_at = SteadyMillis() + down_ms;
}

std::size_t World::capacity_cpu() const {
  return runners_.size() * static_cast<std::size_t>(options_.runner_cpu);
}

void World::OnLine(const std::string& machine, const std::string& line) {
  std::istringstream words(line);
  std::string what, task, how;
  std::uint32_t run = 0;
  words >> what >> task >> run >> how;
  if (OccurrenceOf(task) < kNotedOccurrences)
    record_.Note(Text(machine, " ", line));
  const std::lock_guard lock(runs_mutex_);
  std::vector<RunNote>& notes = runs_[task];
  if (what == "start") {
    notes.push_back({.machine = machine, .run = run, .began = record_.Now()});
    return;
  }
  for (auto it = notes.rbegin(); it != notes.rend(); ++it) {
    if (it->machine != machine || it->run != run) continue;
    if (what == "seen") it->is_seen = true;
    if (what == "end") {
      it->ended = record_.Now();
      it->how = how;
    }
    return;
  }
}

void World::Tick() {
  std::int64_t heartbeat_at = SteadyMillis() + kHeartbeatMs;
  while (true) {
    SleepMillis(kTickMs);
    const std::lock_guard lock(mutex_);
    if (is_ending_) return;
    if (is_interrupted_ || record_.Now() > kLongestRunMs) {
      record_.Note("could not run: interrupted, or longer than allowed");
      KillAll();
      std::_Exit(kCouldNotRun);
    }
    const std::int64_t now = SteadyMillis();
    const bool is_due = now >= heartbeat_at;
    if (is_due) heartbeat_at = now + kHeartbeatMs;
    for (auto& it : runners_) {
      if (it->up_at != 0 && now >= it->up_at) {
        it->up_at = 0;
        StartRunner(*it);
      } else if (is_due && it->pid != 0 && !it->keeps_id && !it->id.empty() &&
                 !expiring_.contains(it->id)) {
        Register(*it, "up");
      }
    }
    for (auto it = expiring_.begin(); it != expiring_.end();) {
      if (now < it->second) {
        ++it;
        continue;
      }
      store_->Erase("servers/" + it->first);
      it = expiring_.erase(it);
    }
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      Entry& entry = entries_[i];
      if (entry.pid != 0 && waitpid(entry.pid, nullptr, WNOHANG) == entry.pid) {
        entry.pid = 0;
        record_.Note("entry-" + std::to_string(i) + " has ended");
      }
    }
  }
}

Answer World::Call(std::size_t entry, const std::string& method,
                   const std::string& target, const std::string& body) {
  const WireReply reply =
      WireClient(entries_[entry].callers).Call(method, target, body, kBudgetMs);
  Answer answer{.status = reply.status};
  const Json json = Json::parse(reply.body, nullptr, false);
  if (json.is_object()) {
    answer.state = json.value("state", "");
    answer.waiting = json.value("waiting", -1);
  }
  record_.Note(
      "client " + method + " " + target + " at entry-" + std::to_string(entry) +
      ": " + std::to_string(answer.status) + " " + answer.state +
      (answer.waiting < 0 ? "" : "waiting " + std::to_string(answer.waiting)));
  return answer;
}

bool World::Submit(const std::string& prefix, const std::string& id,
                   const Json& body) {
  const std::string text = body.dump();
  for (int i = 0; i < kAttempts; ++i) {
    const std::size_t entry = next_entry_++ % entries_.size();
    const int status = Call(entry, "POST", prefix + id, text).status;
    if (status >= 200 && status < 300) return true;
    if (status >= 400 && status < 500 && status != 429) return false;
    SleepMillis(kRetryPauseMs);
  }
  return false;
}

std::string World::State(const std::string& prefix, const std::string& id) {
  for (int i = 0; i < kAttempts; ++i) {
    const std::size_t entry = next_entry_++ % entries_.size();
    const Answer answer = Call(entry, "GET", prefix + id);
    if (answer.status == 200) return answer.state;
    if (answer.status == 410) return "gone";
    SleepMillis(kRetryPauseMs);
  }
  return "";
}

std::map<std::string, std::vector<RunNote>> World::runs() {
  const std::lock_guard lock(runs_mutex_);
  return runs_;
}

std::size_t World::CountEnds(const std::string& id, const std::string& how) {
  std::size_t n = 0;
  for (const auto& [task, notes] : runs()) {
    if (JobOf(task) != id) continue;
    for (const RunNote& it : notes) n += it.how == how;
  }
  return n;
}

std::size_t World::CountDone(const std::string& id) {
  std::size_t n = 0;
  for (const auto& [task, notes] : runs()) {
    n += JobOf(task) == id &&
         std::any_of(notes.begin(), notes.end(),
                     [](const RunNote& it) { return it.how == "done"; });
  }
  return n;
}

bool World::HasRunning(const std::string& id) {
  for (const auto& [task, notes] : runs()) {
    if (JobOf(task) != id) continue;
    for (const RunNote& it : notes)
      if (it.ended < 0) return true;
  }
  return false;
}

bool World::HasBegun(const std::string& id) {
  for (const auto& [task, notes] : runs())
    if (JobOf(task) == id && !notes.empty()) return true;
  return false;
}

Json Submission(int run_ms, int steps, int count, int cpu) {
  Json rows = Json::array();
  for (int i = 0; i < steps; ++i) {
    Json row = {
        {"count", count}, {"cpu", cpu}, {"memMb", 64}, {"estimateMs", run_ms}};
    if (i > 0) row["after"] = {i - 1};
    rows.push_back(std::move(row));
  }
  return {{"spec", std::to_string(run_ms)}, {"steps", std::move(rows)}};
}

Json Lasting(int count, int cpu) {
  Json row = {{"count", count},
              {"cpu", cpu},
              {"memMb", 64},
              {"estimateMs", 500},
              {"longRunning", true}};
  return {{"spec", "-1"}, {"steps", Json::array({std::move(row)})}};
}

}  // namespace pomelomill::review
