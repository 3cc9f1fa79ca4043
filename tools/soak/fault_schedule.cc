#include "fault_schedule.h"

#include <array>
#include <csignal>
#include <string>

#include "clients.h"
#include "wire.h"

namespace pomelomill::soak {
namespace {

using platform::stand_in::Ending;
using platform::stand_in::SleepMillis;
using platform::stand_in::SteadyMillis;
using platform::stand_in::StoreFault;
using platform::stand_in::ToText;
using platform::stand_in::WorkerCall;
using platform::stand_in::WorkerFault;

constexpr std::int64_t kEntryPauseMs = 5'000;
constexpr std::int64_t kAllPauseMs = 10'000;

}  // namespace

FaultSchedule::FaultSchedule(
    std::uint64_t seed, platform::stand_in::Store& store,
    std::vector<std::unique_ptr<platform::stand_in::Worker>>& workers,
    std::vector<std::unique_ptr<EntryProcess>>& entries, Record& record)
    : generator_(seed),
      store_(store),
      workers_(workers),
      entries_(entries),
      record_(record) {}

void FaultSchedule::Run(std::int64_t duration_ms) {
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
      FailWorkers();
    } else if (kind < 13) {
      CloseIdle();
    } else if (kind < 15) {
      FailStore();
    } else if (kind < 19) {
      if (now < next_entry) continue;
      DisturbEntry();
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

void FaultSchedule::FailWorkers() {
  constexpr std::array<WorkerCall, 5> kCalls = {
      WorkerCall::kStart, WorkerCall::kStart, WorkerCall::kStart,
      WorkerCall::kStop, WorkerCall::kRenew};
  const auto last = static_cast<std::int64_t>(workers_.size()) - 1;
  const std::int64_t count = Draw(0, 3) == 0 ? Draw(2, 4) : 1;
  for (std::int64_t i = 0; i < count; ++i) {
    platform::stand_in::Worker& worker =
        *workers_[static_cast<std::size_t>(Draw(0, last))];
    WorkerFault fault;
    fault.call = kCalls[static_cast<std::size_t>(Draw(0, 4))];
    fault.ending = Draw(0, 2) == 0 ? Ending::kClose : Ending::kReset;
    fault.calls = static_cast<int>(Draw(1, 3));
    fault.late_ms = Draw(0, 3) == 0 ? Draw(50, 3'000) : 0;
    fault.rejecting_ms = Draw(300, 5'000);
    const std::int64_t answer = Draw(0, 4);
    fault.rejection_status = answer < 2 ? 503 : answer < 4 ? 429 : 0;
    fault.slow_ms = Draw(200, 7'500);
    fault.is_all = Draw(0, 3) == 0;
    record_.Note("fault: worker " + worker.id() + " loses the answers of " +
                 std::to_string(fault.calls) + " " + ToText(fault.call) +
                 ", late " + std::to_string(fault.late_ms) + " ms, then for " +
                 std::to_string(fault.rejecting_ms) + " ms answers " +
                 (fault.is_all ? "all calls " : "starts ") +
                 std::to_string(fault.rejection_status) + " slow " +
                 std::to_string(fault.slow_ms) + " ms");
    worker.InjectFault(fault);
  }
}

void FaultSchedule::CloseIdle() {
  const std::int64_t share = Draw(20, 100);
  int closed = 0;
  for (auto& it : workers_) {
    if (Draw(0, 1) == 0) continue;
    closed += it->server().CloseIdle([&] { return Draw(1, 100) <= share; });
  }
  record_.Note("fault: workers close " + std::to_string(closed) +
               " idle connections");
}

void FaultSchedule::FailStore() {
  const auto last = static_cast<std::int64_t>(entries_.size()) - 1;
  const std::int64_t scope = Draw(0, 9);
  StoreFault fault;
  fault.is_lost = scope > 0;
  fault.key_part = scope < 5 ? "ids/" : "";
  fault.ending = Draw(0, 2) == 0 ? Ending::kClose : Ending::kReset;
  fault.status = Draw(0, 3) == 0 ? 429 : 503;
  fault.busy_ms = Draw(200, 4'000);
  const std::int64_t first = scope < 2 ? 0 : Draw(0, last);
  for (std::int64_t i = first; i <= (scope < 2 ? last : first); ++i) {
    record_.Note(
        "fault: store " +
        std::string(fault.is_lost ? "loses the answer to" : "rejects") +
        " entry-" + std::to_string(i) + " (" + fault.key_part + "), then " +
        std::to_string(fault.status) + " for " + std::to_string(fault.busy_ms) +
        " ms");
    store_.InjectFault(static_cast<std::size_t>(i), fault);
  }
}

void FaultSchedule::DisturbEntry() {
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

void FaultSchedule::KillAll() {
  record_.Note("fault: all entries end");
  for (auto& it : entries_) {
    threads_.emplace_back([&entry = *it, pause = Draw(0, 3'000)] {
      const std::lock_guard lock(entry.mutex());
      entry.Kill();
      SleepMillis(pause);
      entry.Launch();
    });
  }
}

std::int64_t FaultSchedule::Draw(std::int64_t low, std::int64_t high) {
  return soak::Draw(generator_, low, high);
}

}  // namespace pomelomill::soak
