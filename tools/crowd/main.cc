// One entry of the product under a crowd of clients that send much and never
// come to an end, or open connections and stay silent. Guards against a process
// that runs out of memory or descriptors, ends or hangs, and against ordinary
// callers that get no response beside the crowd.
//
// Exit codes: 0 all checks passed, 1 one did not, 2 the test could not run.

#include <sys/resource.h>

#include <algorithm>
#include <cstdlib>
#include <cxxopts.hpp>
#include <exception>
#include <filesystem>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "caller_messages.h"
#include "crowd.h"
#include "entry_process.h"
#include "process_state.h"
#include "record.h"
#include "store.h"
#include "wire.h"

namespace pomelomill::crowd {
namespace {

using platform::stand_in::EncodeJob;
using platform::stand_in::SleepMillis;
using platform::stand_in::SteadyMillis;
using platform::stand_in::Store;
using platform::stand_in::WireClient;
using soak::EntryProcess;
using soak::Record;

constexpr int kCannotRun = 2;
constexpr std::int64_t kReadyMs = 30'000;
/// The crowd may be held back by the product; the checks begin then.
constexpr std::int64_t kCrowdMs = 10'000;
constexpr std::int64_t kAfterMs = 1'000;
constexpr int kPollMs = 50;
constexpr int kTimeoutMs = 3'000;
/// A caller sends a request without an answer four times more.
constexpr int kAttempts = 5;
constexpr int kRetryMs = 200;
constexpr std::size_t kKbOfMb = 1'024;
/// The connections of a listener and what the process opens besides.
constexpr std::size_t kMaxDescriptors = 1'024 + 100;
/// Descriptors of this process and of the product.
constexpr rlim_t kDescriptors = 4'096;

/// Freed memory that the sanitizer keeps, and the stacks of allocations, are
/// not memory of the product.
const std::vector<std::string>& Environment() {
  static const std::vector<std::string> environment = {
      "ASAN_OPTIONS=quarantine_size_mb=1:thread_local_quarantine_size_kb=64:"
      "malloc_context_size=0:detect_leaks=0"};
  return environment;
}

/// The status of a call that is repeated as a caller does; 0 without answer.
int CallAsCaller(const std::string& address, const std::string& method,
                 const std::string& target, const std::string& body) {
  int status = 0;
  for (int i = 0; i < kAttempts && status == 0; ++i) {
    if (i > 0) SleepMillis(kRetryMs);
    status = WireClient(address).Call(method, target, body, kTimeoutMs).status;
    if (status == 502 || status == 504) status = 0;
  }
  return status;
}

/// Checks one entry; prints a line for each failed check.
class Checks {
 public:
  Checks(EntryProcess& entry, int memory_mb)
      : entry_(entry),
        max_growth_kb_(static_cast<std::size_t>(memory_mb) * kKbOfMb) {}

  void SetIdle() { idle_kb_ = PeakMemoryKb(entry_.pid()); }

  void CheckState() {
    descriptors_ = std::max(descriptors_, OpenDescriptors(entry_.pid()));
  }

  void CheckCaller(const std::string& when, const std::string& job) {
    const std::string target = "/jobs/" + job;
    const int submitted = CallAsCaller(entry_.callers(), "POST", target,
                                       EncodeJob({{.duration_ms = 10}}));
    Check(submitted == 200,
          "submission " + when + ": " + std::to_string(submitted));
    const int state = CallAsCaller(entry_.callers(), "GET", target, "");
    Check(state == 200, "state " + when + ": " + std::to_string(state));
    CheckState();
  }

  void CheckEnd() {
    const bool has_ended = entry_.AwaitEnd(1);
    Check(!has_ended, "the process has ended");
    if (has_ended) return;
    const std::size_t growth = PeakMemoryKb(entry_.pid()) - idle_kb_;
    Check(growth <= max_growth_kb_, "memory is over the bound");
    Check(descriptors_ <= kMaxDescriptors, "descriptors are over the bound");
    std::cout << "idle " << idle_kb_ << " KB, growth " << growth
              << " KB, descriptors " << descriptors_ << '\n';
  }

  bool has_failed() const { return has_failed_; }

 private:
  void Check(bool is_met, const std::string& text) {
    if (is_met) return;
    std::cout << "FAILED: " << text << '\n';
    has_failed_ = true;
  }

  EntryProcess& entry_;
  const std::size_t max_growth_kb_;
  std::size_t idle_kb_ = 0;
  std::size_t descriptors_ = 0;
  bool has_failed_ = false;
};

int Run(const std::string& kind, const std::string& binary,
        const std::string& directory, int memory_mb, std::size_t connections) {
  CrowdShape shape = ShapeOf(kind);
  if (connections != 0) shape.connections = connections;
  if (shape.connections == 0) {
    std::cerr << "crowd: no kind " << kind << '\n';
    return kCannotRun;
  }
  const rlimit descriptors = {kDescriptors, kDescriptors};
  if (setrlimit(RLIMIT_NOFILE, &descriptors) != 0) {
    std::cerr << "crowd: needs " << kDescriptors << " descriptors\n";
    return kCannotRun;
  }
  std::filesystem::create_directories(directory);
  // The threads of the servers use these until the process ends.
  Record& record = *new Record(directory + "/record.txt");
  Store& store =
      *new Store(1, [&record](const std::string& text) { record.Note(text); });
  store.PutConfig("soak.example", "/jobs/");
  EntryProcess entry(0,
                     {.binary = binary,
                      .directory = directory,
                      .store_address = store.address(0),
                      .machines_address = store.machines_address(),
                      .memory_mb = memory_mb,
                      .environment = Environment()},
                     record);
  entry.Launch();
  for (const std::int64_t end = SteadyMillis() + kReadyMs; !entry.IsReady();) {
    if (SteadyMillis() > end) {
      std::cerr << "crowd: the entry is not ready\n";
      return kCannotRun;
    }
    SleepMillis(kPollMs);
  }
  Checks checks(entry, memory_mb);
  checks.CheckCaller("before", "00000000000000a1");
  checks.SetIdle();
  {
    const Crowd crowd(entry.callers(), shape);
    const std::int64_t end = SteadyMillis() + kCrowdMs;
    while (crowd.finished() < shape.connections && SteadyMillis() < end) {
      SleepMillis(kPollMs);
      checks.CheckState();
    }
    checks.CheckCaller("beside the crowd", "00000000000000a2");
    std::cout << kind << ": " << shape.connections << " connections, "
              << crowd.finished() - crowd.refused() << " sent everything, "
              << crowd.refused() << " were closed; ";
  }
  SleepMillis(kAfterMs);
  checks.CheckCaller("afterwards", "00000000000000a3");
  checks.CheckEnd();
  return checks.has_failed() ? EXIT_FAILURE : EXIT_SUCCESS;
}

int Main(int argc, char** argv) {
  cxxopts::Options options("crowd", "One entry under a crowd of clients");
  options.add_options()("kind", "large-chunks, byte-chunks, silent or unread",
                        cxxopts::value<std::string>())(
      "binary", "the product", cxxopts::value<std::string>())(
      "directory", "takes the record and the log",
      cxxopts::value<std::string>())(
      "memory_mb", "of the entry; also the bound on the growth",
      cxxopts::value<int>()->default_value("64"))(
      "connections", "0: the default of the kind",
      cxxopts::value<std::size_t>()->default_value("0"));
  try {
    const auto arguments = options.parse(argc, argv);
    return Run(arguments["kind"].as<std::string>(),
               arguments["binary"].as<std::string>(),
               arguments["directory"].as<std::string>(),
               arguments["memory_mb"].as<int>(),
               arguments["connections"].as<std::size_t>());
  } catch (const std::exception& e) {
    std::cerr << "crowd: " << e.what() << '\n' << options.help();
    return kCannotRun;
  }
}

}  // namespace
}  // namespace pomelomill::crowd

int main(int argc, char** argv) {
  const int status = pomelomill::crowd::Main(argc, argv);
  std::cout << std::flush;
  // Threads of the servers still run.
  std::_Exit(status);
}
