// Measures the processor time that one entry spends for each run of a task: the
// whole job service of one entry, with an in-memory store, and stand-in workers
// in a second process that are called over HTTP on loopback.

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <asio/io_context.hpp>
#include <csignal>
#include <cstdio>
#include <cxxopts.hpp>
#include <iostream>
#include <string>

#include "adapter.h"
#include "event_output.h"
#include "pomelomill/base/asio_timer_service.h"
#include "pomelomill/http.h"
#include "pomelomill/jobserver/job_server.h"
#include "pomelomill/jobtesting/fake_kv_store.h"
#include "records.h"
#include "worker_server.h"

namespace pomelomill {
namespace {

constexpr std::uint16_t kWorkerPort = 18'700;
constexpr std::uint16_t kEntryPort = 18'800;
constexpr const char* kPool = "sketches";
constexpr std::uint32_t kTasksOfJob = 8;
/// Time for the entry to acquire the pool and to reach all workers.
constexpr Duration kSetupTime = std::chrono::seconds(4);

struct Load {
  std::uint32_t workers = 0;
  std::uint32_t jobs_per_second = 0;
  Duration duration{};
  bool has_log = true;
};

double ProcessorSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& it) {
    return static_cast<double>(it.tv_sec) +
           static_cast<double>(it.tv_usec) / 1e6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

std::string EntryAddress(int offset) {
  return "127.0.0.1:" + std::to_string(kEntryPort + offset);
}

JobServiceSettings MakeSettings() {
  JobServiceSettings settings;
  settings.entry = EntryId("entry-1");
  settings.zone = ZoneId("zone-a");
  settings.caller_address = EntryAddress(0);
  settings.ready_address = EntryAddress(1);
  settings.peer_address = EntryAddress(2);
  return settings;
}

Result<FleetConfig> MakeConfig() {
  FleetConfig config{.revision = Revision(1)};
  config.queues.push_back(
      {.id = QueueId("sketch"),
       .host = "127.0.0.1",
       .prefix = "/sketch/",
       .pool = PoolId(kPool),
       .policy = {.max_attempts = 3,
                  .stretch = 1,
                  .target_latency = std::chrono::seconds(3)}});
  config.pools.push_back({.id = PoolId(kPool)});
  return config;
}

Result<ListedWorker> MakeWorker(const StoredKey& entry) {
  ListedWorker worker;
  worker.spec.id =
      WorkerId(entry.key.substr(std::string(platform::kWorkerPrefix).size()));
  worker.spec.capacity = {.cpu_millis = 32'000, .memory_mb = 131'072};
  worker.pool = PoolId(kPool);
  worker.address = entry.value;
  return worker;
}

/// Sends jobs at an even rate and counts what became of the answers.
class Callers {
 public:
  Callers(TimerService& timers, HttpClient& http, const Load& load)
      : timers_(timers),
        http_(http),
        load_(load),
        body_(platform::JobBody(kTasksOfJob)) {}

  void Start() { SendNext(); }
  std::uint64_t accepted() const { return accepted_; }
  std::uint64_t rejected() const { return rejected_; }

 private:
  void SendNext() {
    char id[17];
    std::snprintf(id, sizeof(id), "%016llx",
                  static_cast<unsigned long long>(++sent_));
    HttpRequest request;
    request.method = "POST";
    request.url = "http://" + EntryAddress(0) + "/sketch/" + id;
    request.headers = {{"Content-Type", "application/json"}};
    request.body = body_;
    http_.Send(std::move(request), [this](const HttpResult& result) {
      const bool is_accepted = !result.error && result.response.status == 200;
      ++(is_accepted ? accepted_ : rejected_);
    });
    timers_.ScheduleAfter(
        std::chrono::duration_cast<Duration>(std::chrono::seconds(1)) /
            load_.jobs_per_second,
        [this] { SendNext(); });
  }

  TimerService& timers_;
  HttpClient& http_;
  const Load load_;
  const std::string body_;
  std::uint64_t sent_ = 0;
  std::uint64_t accepted_ = 0;
  std::uint64_t rejected_ = 0;
};

/// Sends the load from a process of its own, so that only the entry is
/// measured.
void RunCallers(const Load& load) {
  asio::io_context context(1);
  AsioTimerService timers(context);
  HttpClient http(context);
  Callers callers(timers, http, load);
  timers.ScheduleAfter(kSetupTime, [&] { callers.Start(); });
  timers.ScheduleAfter(kSetupTime + load.duration, [&] { context.stop(); });
  context.run();
  std::cout << "accepted " << callers.accepted() << ", other answers "
            << callers.rejected() << std::endl;
}

template <typename Work>
pid_t RunInChild(Work work) {
  const pid_t child = fork();
  if (child == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    work();
    _exit(0);
  }
  return child;
}

void Measure(const Load& load) {
  asio::io_context context(1);
  AsioTimerService timers(context);
  PersistentHttpClient http(context);
  FakeKvStore store(timers);
  const StoreFaults no_faults;
  const JobServiceSettings settings = MakeSettings();
  PlatformHooks hooks = platform::MakePlatformHooks(http, settings);
  hooks.store = store.Client(timers, no_faults);
  hooks.leases = store.Leases(timers, no_faults);
  hooks.decode_config = [](const std::string&) { return MakeConfig(); };
  hooks.decode_worker = MakeWorker;
  hooks.fleet.list = [](const auto& done) { done(std::vector<FleetVm>()); };
  store.Put(platform::kConfigKey, "1");
  for (std::uint32_t i = 0; i < load.workers; ++i) {
    store.Put(platform::kWorkerPrefix + ("w" + std::to_string(i)),
              platform::WorkerAddressText(i, kWorkerPort));
  }
  EventOutput output(timers,
                     {.file_descriptor = open("/dev/null", O_WRONLY),
                      .max_lines_per_second = load.has_log ? 1'500U : 0U});
  std::uint64_t starts = 0;
  std::uint64_t ends = 0;
  JobServer server(
      context, timers, http, hooks, settings, IncarnationId("1"),
      {.wall_ms = [&] { return ToMillis(timers.Now().time_since_epoch()); },
       .event =
           [&](std::string_view part, std::string_view event,
               const std::vector<EventField>& fields) {
             starts += event == "task-start";
             ends += event == "job-ended";
             output.Write(part, event, fields);
           },
       .on_stopped = [&] { context.stop(); }});
  if (const Status status = server.Start(); !status) {
    std::cerr << "cannot listen: " << status.error().message() << "\n";
    return;
  }
  double began = 0;
  timers.ScheduleAfter(kSetupTime, [&] { began = ProcessorSeconds(); });
  timers.ScheduleAfter(kSetupTime + load.duration, [&] {
    const double used = ProcessorSeconds() - began;
    std::cout << "runs " << starts << ", jobs ended " << ends
              << ", processor seconds " << used << ", of a core "
              << used / ToSeconds(load.duration) << ", us per run "
              << used * 1e6 / static_cast<double>(starts) << std::endl;
    context.stop();
  });
  context.run();
}

}  // namespace
}  // namespace pomelomill

int main(int argc, char** argv) {
  using pomelomill::Load;
  cxxopts::Options options("measure_owner",
                           "Processor time of an entry for each run of a task");
  options.add_options()("workers", "stand-in workers",
                        cxxopts::value<std::uint32_t>()->default_value("120"))(
      "jobs", "jobs a second, of eight tasks each",
      cxxopts::value<std::uint32_t>()->default_value("60"))(
      "seconds", "length of the load",
      cxxopts::value<std::uint32_t>()->default_value("10"))(
      "run-ms", "run time of a task",
      cxxopts::value<std::uint32_t>()->default_value("640"))(
      "no-log", "drop all log lines");
  const auto parsed = options.parse(argc, argv);
  const Load load{
      .workers = parsed["workers"].as<std::uint32_t>(),
      .jobs_per_second = parsed["jobs"].as<std::uint32_t>(),
      .duration = std::chrono::seconds(parsed["seconds"].as<std::uint32_t>()),
      .has_log = parsed.count("no-log") == 0};
  const pomelomill::Duration run_time =
      std::chrono::milliseconds(parsed["run-ms"].as<std::uint32_t>());
  const pid_t workers = pomelomill::RunInChild([&] {
    pomelomill::platform::ServeWorkers(load.workers, pomelomill::kWorkerPort,
                                       run_time);
  });
  const pid_t callers =
      pomelomill::RunInChild([&] { pomelomill::RunCallers(load); });
  pomelomill::Measure(load);
  waitpid(callers, nullptr, 0);
  kill(workers, SIGKILL);
  waitpid(workers, nullptr, 0);
  return 0;
}
