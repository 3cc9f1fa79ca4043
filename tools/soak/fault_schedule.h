#pragma once

#include <cstdint>
#include <memory>
#include <random>
#include <thread>
#include <vector>

#include "entry_process.h"
#include "record.h"
#include "store.h"
#include "worker.h"

namespace pomelomill::soak {

/// Faults that the platform may have, drawn from a seed, one after the other
/// or overlapping.
class FaultSchedule {
 public:
  FaultSchedule(
      std::uint64_t seed, platform::stand_in::Store& store,
      std::vector<std::unique_ptr<platform::stand_in::Worker>>& workers,
      std::vector<std::unique_ptr<EntryProcess>>& entries, Record& record);

  /// Returns after `duration_ms`, when the last fault of an entry is over.
  void Run(std::int64_t duration_ms);

 private:
  void FailWorkers();
  void CloseIdle();
  void FailStore();
  void DisturbEntry();
  void KillAll();
  std::int64_t Draw(std::int64_t low, std::int64_t high);

  std::mt19937_64 generator_;
  platform::stand_in::Store& store_;
  std::vector<std::unique_ptr<platform::stand_in::Worker>>& workers_;
  std::vector<std::unique_ptr<EntryProcess>>& entries_;
  Record& record_;
  std::vector<std::thread> threads_;
};

}  // namespace pomelomill::soak
