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

/// Troubles that the contract allows, drawn from a seed, one after the other
/// or overlapping.
class Troubles {
 public:
  Troubles(std::uint64_t seed, Store& store,
           std::vector<std::unique_ptr<Worker>>& workers,
           std::vector<std::unique_ptr<EntryProcess>>& entries, Record& record);

  /// Returns after `duration_ms`, when the last trouble of an entry is over.
  void Run(std::int64_t duration_ms);

 private:
  void AfflictWorkers();
  void CloseIdle();
  void AfflictStore();
  void AfflictEntry();
  void KillAll();
  std::int64_t Draw(std::int64_t low, std::int64_t high);

  std::mt19937_64 generator_;
  Store& store_;
  std::vector<std::unique_ptr<Worker>>& workers_;
  std::vector<std::unique_ptr<EntryProcess>>& entries_;
  Record& record_;
  std::vector<std::thread> threads_;
};

}  // namespace pomelomill::soak
