#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "key_ring.h"
#include "record.h"

namespace pomelomill::soak {

constexpr const char* kHost = "soak.example";
constexpr const char* kQueuePrefix = "/jobs/";

/// Clients that submit small jobs at random entries. Each keeps one connection
/// to each entry. A rejected job is not submitted again; one without an answer
/// is, at any entry.
class Clients {
 public:
  Clients(std::vector<std::string> entries, std::uint64_t seed, int racks,
          KeyRing& keys, Record& record);

  void Begin(int count);
  /// No job begins from now on; returns when each has its answer, or at `end`.
  void Finish(std::int64_t end);
  /// Asks until all accepted jobs are complete or `end` has come; reports the
  /// others as LOST.
  void AwaitComplete(std::int64_t end);

 private:
  void Run(int client);
  /// Returns the body of a job of the client; its tasks have `cpu_millis` each
  /// at most.
  std::string MakeJob(std::mt19937_64& generator,
                      std::int64_t& cpu_millis) const;

  const std::vector<std::string> entries_;
  const std::uint64_t seed_;
  const int racks_;
  KeyRing& keys_;
  Record& record_;
  std::atomic<bool> is_ending_ = false;
  std::atomic<std::int64_t> end_ = 0;
  std::vector<std::thread> threads_;
  std::mutex mutex_;
  std::vector<std::string> accepted_;
};

/// Uniform in [low, high].
std::int64_t Draw(std::mt19937_64& generator, std::int64_t low,
                  std::int64_t high);

}  // namespace pomelomill::soak
