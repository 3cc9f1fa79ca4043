#include "troubles.h"

#include <array>
#include <csignal>
#include <string>

#include "clients.h"
#include "wire.h"

namespace pomelomill::soak {
namespace {

constexpr std::int64_t kEntryPauseMs = 5'000;
constexpr std::int64_t kAllPauseMs = 10'000;

}  // namespace

Troubles::Troubles(std::uint64_t seed, Store& store,
                   std::vector<std::unique_ptr<Worker>>& workers,
                   std::vector<std::unique_ptr<EntryProcess>>& entries,
                   Record& record)
    : generator_(seed),
      store_(store),
      workers_(workers),
      entries_(entries),
      record_(record) {}

void Troubles::Run(std::int64_t duration_ms) {
  const std::int64_t end = SteadyMillis() + duration_ms;
  // In series, close together or overlapping, by the seed.
  const std::int64_t longest_pause = Draw(1, 4) * 400;
  // Entries that are never up long enough to work would hide every fault.
  std::int64_t next_entry = 0;
  std::int64_t next_all = 0;
  while (SteadyMillis() < end) {
    const std::int64_t kind = Draw(0, 19);
    const std::int64_t now = SteadyMillis();
    if (kind < 10) {
      AfflictWorkers();
    } else if (kind < 13) {
      CloseIdle();
    } else if (kind < 15) {
      AfflictStore();
    } else if (kind < 19) {
      if (now < next_entry) continue;
      AfflictEntry();
      next_entry = now + Draw(0, kEntryPauseMs);
    } else {
      if (now < next_all) continue;
      KillAll();
      next_all = now + kAllPauseMs;
      next_entry = now + kEntryPauseMs;
    }
    SleepMillis(Draw(0, longest_pause));
  }
  for (std::thread& it : threads_) it.join();
}

void Troubles::AfflictWorkers() {
  constexpr std::array<const char*, 5> kCalls = {
      "run-start", "run-start", "run-start", "run-stop", "hold"};
  const auto last = static_cast<std::int64_t>(workers_.size()) - 1;
  const std::int64_t count = Draw(0, 3) == 0 ? Draw(2, 4) : 1;
  for (std::int64_t i = 0; i < count; ++i) {
    Worker& worker = *workers_[static_cast<std::size_t>(Draw(0, last))];
    WorkerTrouble trouble;
    trouble.call = kCalls[static_cast<std::size_t>(Draw(0, 4))];
    trouble.ending = Draw(0, 2) == 0 ? Ending::kClose : Ending::kReset;
    trouble.calls = static_cast<int>(Draw(1, 3));
    trouble.late_ms = Draw(0, 3) == 0 ? Draw(50, 3'000) : 0;
    trouble.sick_ms = Draw(300, 5'000);
    const std::int64_t answer = Draw(0, 4);
    trouble.sick_status = answer < 2 ? 503 : answer < 4 ? 429 : 0;
    trouble.slow_ms = Draw(200, 7'500);
    trouble.is_all = Draw(0, 3) == 0;
    record_.Note("trouble: worker " + worker.id() + " loses the answers of " +
                 std::to_string(trouble.calls) + " " + trouble.call +
                 ", late " + std::to_string(trouble.late_ms) +
                 " ms, then for " + std::to_string(trouble.sick_ms) +
                 " ms answers " + (trouble.is_all ? "all calls " : "starts ") +
                 std::to_string(trouble.sick_status) + " slow " +
                 std::to_string(trouble.slow_ms) + " ms");
    worker.Afflict(trouble);
  }
}

void Troubles::CloseIdle() {
  const std::int64_t share = Draw(20, 100);
  int closed = 0;
  for (auto& it : workers_) {
    if (Draw(0, 1) == 0) continue;
    closed += it->server().CloseIdle([&] { return Draw(1, 100) <= share; });
  }
  record_.Note("trouble: workers close " + std::to_string(closed) +
               " idle connections");
}

void Troubles::AfflictStore() {
  const auto last = static_cast<std::int64_t>(entries_.size()) - 1;
  const std::int64_t scope = Draw(0, 9);
  StoreTrouble trouble;
  trouble.is_lost = scope > 0;
  trouble.names = scope < 5 ? "ids/" : "";
  trouble.ending = Draw(0, 2) == 0 ? Ending::kClose : Ending::kReset;
  trouble.status = Draw(0, 3) == 0 ? 429 : 503;
  trouble.busy_ms = Draw(200, 4'000);
  const std::int64_t first = scope < 2 ? 0 : Draw(0, last);
  for (std::int64_t i = first; i <= (scope < 2 ? last : first); ++i) {
    record_.Note(
        "trouble: store " +
        std::string(trouble.is_lost ? "loses the answer to" : "rejects") +
        " entry-" + std::to_string(i) + " (" + trouble.names + "), then " +
        std::to_string(trouble.status) + " for " +
        std::to_string(trouble.busy_ms) + " ms");
    store_.Afflict(static_cast<std::size_t>(i), trouble);
  }
}

void Troubles::AfflictEntry() {
  const auto index = static_cast<std::size_t>(
      Draw(0, static_cast<std::int64_t>(entries_.size()) - 1));
  const std::int64_t kind = Draw(0, 3);
  const std::int64_t pause = Draw(0, 2'500);
  const std::int64_t hold = Draw(500, 4'000);
  threads_.emplace_back([&entry = *entries_[index], kind, pause, hold] {
    const std::unique_lock lock(entry.mutex(), std::try_to_lock);
    if (!lock.owns_lock()) return;
    if (kind < 2) {
      entry.Signal(SIGSTOP);
      SleepMillis(hold);
      entry.Signal(SIGCONT);
      return;
    }
    if (kind == 2) {
      entry.Kill();
    } else {
      entry.Terminate();
    }
    SleepMillis(pause);
    entry.Launch();
  });
}

void Troubles::KillAll() {
  record_.Note("trouble: all entries end");
  for (auto& it : entries_) {
    threads_.emplace_back([&entry = *it, pause = Draw(0, 3'000)] {
      const std::lock_guard lock(entry.mutex());
      entry.Kill();
      SleepMillis(pause);
      entry.Launch();
    });
  }
}

std::int64_t Troubles::Draw(std::int64_t low, std::int64_t high) {
  return soak::Draw(generator_, low, high);
}

}  // namespace pomelomill::soak
