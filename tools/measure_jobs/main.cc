// Measures the job scheduler in virtual time beside two simple schedulers on
// the same seeds and prints CSV: scenario,measure,baseline,baseline_value,
// value,ratio,target,met. Usage: measure_jobs [--only SCENARIO]
// [workers,teams ...]

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "baseline.h"
#include "job_world.h"

namespace pomelomill {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr double kUrgentTargetSeconds = 7.9;
// 4% of a core at five passes a second.
constexpr double kPassTargetMillis = 8;
constexpr double kControlTargetPercent = 4;
// Worth waiting for: an urgent task that has not started by then counts as
// having waited this long.
constexpr double kUrgentWatch = 120;

struct Size {
  std::uint32_t workers = 50;
  std::uint32_t teams = 5;
};

enum class Scenario {
  kPlain,
  kEachWorkerFull,
  kWrongSizes,
  kFailingWorker,
  kNeverRunnable,
  kCancellations,
  kRackLost,
};

const std::vector<std::pair<Scenario, std::string>> kScenarios = {
    {Scenario::kPlain, "full_95"},
    {Scenario::kEachWorkerFull, "each_worker_full"},
    {Scenario::kWrongSizes, "wrong_sizes"},
    {Scenario::kFailingWorker, "failing_worker"},
    {Scenario::kNeverRunnable, "never_runnable"},
    {Scenario::kCancellations, "cancellations"},
    {Scenario::kRackLost, "rack_lost"},
};

struct Outcome {
  double p50 = 0;
  double p99 = 0;
  double max = 0;
  double stopped_core_s = 0;
  double failed_core_s = 0;
  double violations = 0;
  double bad_job_attempts = 0;
  double cancel_ms = 0;
  double pass_p99_ms = 0;
  double pass_max_ms = 0;
  /// Processor time of all events after the fill, in percent of a core.
  double control_percent = 0;
  /// Cores that are held when the first urgent job comes, in percent.
  double full_percent = 0;
  double memory_mb = 0;
  double state_bytes = 0;
};

double Quantile(std::vector<double> values, double q) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto i =
      static_cast<std::size_t>(q * static_cast<double>(values.size()));
  return values[std::min(i, values.size() - 1)];
}

double HeapMb() { return static_cast<double>(mallinfo2().uordblks) / 1e6; }

Outcome Run(Scenario scenario, const Size& size,
            std::optional<BaselineKind> baseline, std::uint64_t seed) {
  WorldSettings settings;
  settings.workers = size.workers;
  settings.seed = seed;
  settings.loss = 0.001;
  Outcome out;
  const double heap_before = HeapMb();
  auto decisions = std::make_unique<DecisionLog>();
  JobScheduler scheduler({}, Epoch(1), decisions.get());
  std::optional<BaselineScheduler> simple;
  if (baseline) simple.emplace(*baseline);
  std::vector<double> pass_ms;
  double busy_ms = 0;
  JobWorld world(settings, [&](const JobEvent& event, Instant now) {
    const auto begin = std::chrono::steady_clock::now();
    auto actions =
        simple ? simple->Handle(event, now) : scheduler.Handle(event, now);
    const std::chrono::duration<double, std::milli> took =
        std::chrono::steady_clock::now() - begin;
    busy_ms += took.count();
    if (std::holds_alternative<Tick>(event)) pass_ms.push_back(took.count());
    if (std::holds_alternative<JobsCancelled>(event))
      out.cancel_ms = took.count();
    return actions;
  });
  world.truth = [&](const JobClassDeclaration& c, Random& random) {
    TaskTruth truth{
        {static_cast<double>(c.cores), static_cast<double>(c.memory_mb), 0},
        Duration(static_cast<Duration::rep>(
            static_cast<double>(c.run_time.count()) * (0.5 + random.Unit()))),
        c.id == "never"};
    if (scenario == Scenario::kWrongSizes && !c.is_urgent) {
      truth.usage.cores *= 0.5;
      truth.usage.memory_mb *= 0.4 + random.Unit();
    }
    return truth;
  };
  TeamsDeclared teams;
  for (std::uint32_t i = 0; i < size.teams; ++i) {
    const TeamId id("t" + std::to_string(i));
    teams.teams[id] = {id, 1, 0, size.workers * 32 / size.teams};
  }
  world.Send(teams);
  Random random(seed);
  const double capacity = size.workers * 32.0;
  double cores = 0;
  std::uint32_t next = 0;
  if (scenario == Scenario::kEachWorkerFull) {
    // 30 of 32 cores on each worker and all of them on every fifth: 95%, and
    // no worker has room for an urgent task of 8 cores.
    for (std::uint32_t i = 0; i < size.workers; ++i) {
      JobClassDeclaration c;
      c.team = TeamId("t" + std::to_string(i % size.teams));
      c.cores = 5;
      c.id = "five" + c.team.value();
      c.memory_mb = 1800 * c.cores;
      c.run_time = hours(2);
      c.can_checkpoint = i % 3 != 0;
      world.Submit("n" + std::to_string(next++), c, 6);
      if (i % 5 != 0) continue;
      c.cores = 2;
      c.id = "two" + c.team.value();
      c.memory_mb = 1800 * c.cores;
      world.Submit("n" + std::to_string(next++), c, 1);
    }
    cores = 0.95 * capacity;
  }
  // Eight classes a team; the run times keep the fleet full.
  while (cores < 0.95 * capacity) {
    const std::uint32_t team = next % size.teams;
    const std::uint32_t kind = static_cast<std::uint32_t>(random.Below(8));
    JobClassDeclaration c;
    c.id = "c" + std::to_string(team) + "." + std::to_string(kind);
    c.team = TeamId("t" + std::to_string(team));
    c.cores = 1 + kind;
    c.memory_mb = 1800 * c.cores;
    c.run_time = hours(2);
    c.can_checkpoint = kind % 3 != 0;
    c.can_throttle = kind == 6;
    const auto n = static_cast<std::uint32_t>(1 + random.Below(4));
    world.Submit("n" + std::to_string(next++), c, n);
    cores += n * c.cores;
  }
  world.RunFor(seconds(40));
  if (scenario == Scenario::kFailingWorker) world.SetFailing(1, true);
  if (scenario == Scenario::kNeverRunnable) {
    for (int i = 0; i < 5; ++i) {
      JobClassDeclaration c;
      c.id = "never";
      c.team = TeamId("t0");
      world.Submit("never" + std::to_string(i), c, 1);
    }
  }
  const int urgent = size.workers < 100 ? 20 : 60;
  out.full_percent = 100 * world.running_cores() / capacity;
  const Instant filled = world.now();
  busy_ms = 0;
  for (int i = 0; i < urgent; ++i) {
    if (i == urgent / 2 && scenario == Scenario::kRackLost) {
      for (std::uint32_t w = 4; w < 8; ++w) world.Lose(w);
    }
    if (i == urgent / 2 && scenario == Scenario::kCancellations) {
      std::vector<JobId> jobs;
      for (std::uint32_t k = 0; k < next; k += 2)
        jobs.emplace_back("n" + std::to_string(k));
      world.Cancel(jobs);
    }
    JobClassDeclaration c;
    c.team = TeamId("t" + std::to_string(i % size.teams));
    c.cores = 8;
    c.id = "urgent" + c.team.value();
    c.memory_mb = 8000;
    c.run_time = seconds(30);
    c.is_urgent = true;
    world.Submit("u" + std::to_string(i), c);
    world.RunFor(milliseconds(1000 + random.Below(4000)));
  }
  world.RunFor(seconds(60));
  out.control_percent = busy_ms / 10 / ToSeconds(world.now() - filled);
  std::vector<double> waits = world.urgent_start_s;
  waits.resize(waits.size() + world.urgent_waiting, kUrgentWatch);
  out.p50 = Quantile(waits, 0.5);
  out.p99 = Quantile(waits, 0.99);
  out.max = Quantile(waits, 1);
  out.stopped_core_s = world.stopped_core_s;
  out.failed_core_s = world.failed_core_s;
  out.violations = static_cast<double>(world.violations.size());
  for (int i = 0; i < 5; ++i)
    out.bad_job_attempts =
        std::max(out.bad_job_attempts,
                 static_cast<double>(
                     world.attempts[JobId("never" + std::to_string(i))]));
  out.pass_p99_ms = Quantile(pass_ms, 0.99);
  out.pass_max_ms = Quantile(pass_ms, 1);
  if (!simple) {
    out.state_bytes =
        static_cast<double>(EncodeJobState(scheduler.Snapshot()).size());
    // The scheduler and its decisions, without the model of the workers.
    const double heap = HeapMb();
    scheduler = JobScheduler({}, Epoch(1), nullptr);
    decisions.reset();
    out.memory_mb = heap - HeapMb();
  }
  (void)heap_before;
  return out;
}

void Line(const std::string& scenario, const std::string& measure,
          const std::string& baseline, double base, double value,
          std::optional<double> target) {
  std::printf("%s,%s,%s,%.4g,%.4g,", scenario.c_str(), measure.c_str(),
              baseline.c_str(), base, value);
  if (base > 0) std::printf("%.4g", value / base);
  std::printf(",");
  if (target)
    std::printf("%.4g,%s", *target, value <= *target ? "yes" : "no");
  else
    std::printf(",");
  std::printf("\n");
  std::fflush(stdout);
}

// Least squares: value = intercept + slope * workers.
void Fit(const std::string& measure, const std::vector<double>& x,
         const std::vector<double>& y) {
  const auto n = static_cast<double>(x.size());
  double sx = 0;
  double sy = 0;
  double sxx = 0;
  double sxy = 0;
  for (std::size_t i = 0; i < x.size(); ++i) {
    sx += x[i];
    sy += y[i];
    sxx += x[i] * x[i];
    sxy += x[i] * y[i];
  }
  const double d = n * sxx - sx * sx;
  if (d <= 0) return;
  const double slope = (n * sxy - sx * sy) / d;
  Line("fit", measure + "_per_1000_workers", "", 0, slope * 1000, {});
  Line("fit", measure + "_at_0_workers", "", 0, (sy - slope * sx) / n, {});
}

}  // namespace
}  // namespace pomelomill

int main(int argc, char** argv) {
  using namespace pomelomill;  // NOLINT(google-build-using-namespace)
  std::vector<Size> sizes;
  std::string only;
  for (int i = 1; i < argc; ++i) {
    if (argv[i] == std::string("--only") && i + 1 < argc) {
      only = argv[++i];
      continue;
    }
    char* end = nullptr;
    Size size;
    size.workers = static_cast<std::uint32_t>(std::strtoul(argv[i], &end, 10));
    if (*end == ',')
      size.teams =
          static_cast<std::uint32_t>(std::strtoul(end + 1, nullptr, 10));
    sizes.push_back(size);
  }
  if (sizes.empty()) sizes = {{100, 9}, {400, 35}, {1700, 140}};
  constexpr std::uint64_t kSeed = 20261204;
  std::printf(
      "scenario,measure,baseline,baseline_value,value,ratio,target,met\n");
  std::vector<double> workers;
  std::vector<double> pass;
  std::vector<double> memory;
  for (const Size& size : sizes) {
    for (const auto& [scenario, label] : kScenarios) {
      if (!only.empty() && label != only) continue;
      const std::string name = label + "_" + std::to_string(size.workers) +
                               "w_" + std::to_string(size.teams) + "t";
      const Outcome own = Run(scenario, size, {}, kSeed);
      const std::pair<std::string, BaselineKind> kinds[] = {
          {"fifo", BaselineKind::kFirstInFirstOut},
          {"best_fit", BaselineKind::kBestFit}};
      for (const auto& [baseline, kind] : kinds) {
        const Outcome base = Run(scenario, size, kind, kSeed);
        Line(name, "urgent_p50_s", baseline, base.p50, own.p50, {});
        Line(name, "urgent_p99_s", baseline, base.p99, own.p99, {});
        Line(name, "urgent_max_s", baseline, base.max, own.max,
             kUrgentTargetSeconds);
        Line(name, "stopped_core_s", baseline, base.stopped_core_s,
             own.stopped_core_s, {});
        Line(name, "failed_core_s", baseline, base.failed_core_s,
             own.failed_core_s, {});
        if (scenario == Scenario::kNeverRunnable)
          Line(name, "attempts_of_never_runnable_job", baseline,
               base.bad_job_attempts, own.bad_job_attempts, 10);
        if (scenario == Scenario::kCancellations)
          Line(name, "cancel_ms", baseline, base.cancel_ms, own.cancel_ms, {});
      }
      Line(name, "violations", "", 0, own.violations, 0);
      Line(name, "pass_p99_ms", "", 0, own.pass_p99_ms, kPassTargetMillis);
      Line(name, "pass_max_ms", "", 0, own.pass_max_ms, {});
      Line(name, "control_core_percent", "", 0, own.control_percent,
           kControlTargetPercent);
      Line(name, "full_percent", "", 0, own.full_percent, {});
      Line(name, "memory_mb", "", 0, own.memory_mb, 64);
      Line(name, "state_bytes", "", 0, own.state_bytes, {});
      if (scenario != Scenario::kPlain) continue;
      workers.push_back(size.workers);
      pass.push_back(own.pass_p99_ms);
      memory.push_back(own.memory_mb);
    }
  }
  Fit("pass_p99_ms", workers, pass);
  Fit("memory_mb", workers, memory);
  return 0;
}
