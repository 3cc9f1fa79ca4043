// A seeded soak of the job service with real processes: three entries of the
// product, and in this process the platform's store, the workers and the
// clients. It looks for faults that only real connections show: a call whose
// answer is lost and what the HTTP client does about it. The stand-ins in
// virtual time begin above that client. Run it with scripts/soak.sh.
//
// Exit codes: 0 no rule was broken, 1 one was, 2 the seed could not run.

#include <atomic>
#include <cstdlib>
#include <cxxopts.hpp>
#include <exception>
#include <filesystem>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "clients.h"
#include "entry_process.h"
#include "fault_schedule.h"
#include "key_ring.h"
#include "record.h"
#include "store.h"
#include "wire.h"
#include "worker.h"

namespace pomelomill::soak {
namespace {

using platform::stand_in::SleepMillis;
using platform::stand_in::SteadyMillis;
using platform::stand_in::Store;
using platform::stand_in::Worker;
using platform::stand_in::WorkerHooks;

constexpr int kEntries = 3;
constexpr std::int64_t kHeartbeatMs = 1'500;
constexpr std::int64_t kEntryTtlMs = 3 * kHeartbeatMs;
constexpr std::int64_t kReadyMs = 20'000;
constexpr std::int64_t kCompleteMs = 30'000;
constexpr int kPollMs = 100;
constexpr std::int64_t kMinRotationMs = 500;
constexpr std::int64_t kMaxRotationMs = 4'000;
constexpr int kMillisPerSecond = 1'000;
constexpr int kCannotRun = 2;

WorkerHooks MakeWorkerHooks(Record& record) {
  return {
      .on_start = [&record](
                      const std::string& worker, const std::string& task,
                      std::uint32_t run) { record.Started(worker, task, run); },
      .on_end =
          [&record](const std::string& worker, const std::string& task,
                    std::uint32_t run, const std::string& outcome) {
            record.Ended(worker, task, run, outcome);
          },
      .on_acknowledged =
          [&record](const std::string& task, const std::string& outcome) {
            record.Acknowledged(task, outcome);
          },
      .note = [&record](const std::string& text) { record.Note(text); }};
}

int Soak(std::uint64_t seed, std::int64_t seconds, const std::string& binary,
         const std::string& directory) {
  std::filesystem::create_directories(directory);
  // The threads of the servers use these until the process ends.
  Record& record = *new Record(directory + "/record.txt");
  std::mt19937_64 generator(seed);
  const auto note = [&record](const std::string& text) { record.Note(text); };
  Store& store = *new Store(kEntries, note);
  KeyRing& keys = *new KeyRing(store, record);
  auto& workers = *new std::vector<std::unique_ptr<Worker>>;
  const std::int64_t count = Draw(generator, 6, 12);
  const std::int64_t rack_size = Draw(generator, 1, 4);
  for (std::int64_t i = 0; i < count; ++i) {
    const double rate =
        1 - static_cast<double>(Draw(generator, 0, 20)) / kMillisPerSecond;
    workers.push_back(std::make_unique<Worker>(
        "w-" + std::to_string(i), "r" + std::to_string(i / rack_size), rate,
        MakeWorkerHooks(record)));
  }
  std::thread([&workers, &store] {
    while (true) {
      for (auto& it : workers) store.PutWorker(*it, kEntryTtlMs);
      SleepMillis(kHeartbeatMs);
    }
  }).detach();

  std::vector<std::unique_ptr<EntryProcess>> entries;
  std::vector<std::string> callers;
  for (int i = 0; i < kEntries; ++i) {
    entries.push_back(std::make_unique<EntryProcess>(
        i,
        EntryOptions{binary, directory,
                     store.address(static_cast<std::size_t>(i)),
                     store.machines_address()},
        record));
    callers.push_back(entries.back()->callers());
    entries.back()->Launch();
  }
  const std::int64_t limit = SteadyMillis() + kReadyMs;
  for (auto& it : entries) {
    while (!it->IsReady()) {
      if (SteadyMillis() > limit) {
        std::cout << "seed " << seed << ": the entries are not ready\n";
        return kCannotRun;
      }
      SleepMillis(kPollMs);
    }
  }
  const int racks = static_cast<int>((count + rack_size - 1) / rack_size);
  Clients clients(callers, seed, racks, keys, record);
  clients.Begin(static_cast<int>(Draw(generator, 4, 8)));
  std::atomic<bool> has_faults = true;
  std::thread rotation([&keys, &has_faults, seed] {
    std::mt19937_64 own(~seed);
    while (has_faults) {
      SleepMillis(Draw(own, kMinRotationMs, kMaxRotationMs));
      keys.Rotate(own());
    }
  });
  FaultSchedule(generator(), store, workers, entries, record)
      .Run(seconds * kMillisPerSecond);
  has_faults = false;
  rotation.join();
  record.Note("faults end");
  const std::int64_t end = SteadyMillis() + kCompleteMs;
  clients.Finish(end);
  clients.AwaitComplete(end);
  keys.Check(callers);
  record.CheckRefused();
  record.Note("end");

  for (const std::string& it : record.broken()) std::cout << it << '\n';
  std::cout << "seed " << seed << ": " << record.broken().size()
            << " broken; workers " << count << ", " << record.Summary()
            << std::endl;
  return record.broken().empty() ? EXIT_SUCCESS : EXIT_FAILURE;
}

int Main(int argc, char** argv) {
  cxxopts::Options options("soak", "Job service under faults, one seed");
  options.add_options()("seed", "seed", cxxopts::value<std::uint64_t>())(
      "seconds", "length of the faults",
      cxxopts::value<std::int64_t>()->default_value("18"))(
      "binary", "the product", cxxopts::value<std::string>())(
      "directory", "takes the record and the logs",
      cxxopts::value<std::string>());
  try {
    const auto arguments = options.parse(argc, argv);
    return Soak(arguments["seed"].as<std::uint64_t>(),
                arguments["seconds"].as<std::int64_t>(),
                arguments["binary"].as<std::string>(),
                arguments["directory"].as<std::string>());
  } catch (const std::exception& e) {
    std::cerr << "soak: " << e.what() << '\n' << options.help();
    return kCannotRun;
  }
}

}  // namespace
}  // namespace pomelomill::soak

int main(int argc, char** argv) {
  const int status = pomelomill::soak::Main(argc, argv);
  std::cout << std::flush;
  // Threads of the servers still run.
  std::_Exit(status);
}
