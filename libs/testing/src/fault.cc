#include "pomelomill/testing/fault.h"

#include <array>
#include <utility>

namespace pomelomill::testing {
namespace {

constexpr std::array<std::pair<Fault, std::string_view>, 34> kNames{{
    {Fault::kNone, "none"},
    {Fault::kLoseRequest, "lose-request"},
    {Fault::kLoseResponse, "lose-response"},
    {Fault::kLateRequest, "late-request"},
    {Fault::kLateResponse, "late-response"},
    {Fault::kDuplicate, "duplicate"},
    {Fault::kReorder, "reorder"},
    {Fault::kStaleRead, "stale-read"},
    {Fault::kSlowWatch, "slow-watch"},
    {Fault::kCrashBefore, "crash-before"},
    {Fault::kCrashAfter, "crash-after"},
    {Fault::kPauseBefore, "pause-before"},
    {Fault::kPauseAfter, "pause-after"},
    {Fault::kClockJump, "clock-jump"},
    {Fault::kClockFast, "clock-fast"},
    {Fault::kClockSlow, "clock-slow"},
    {Fault::kStoreDown, "store-down"},
    {Fault::kStoreUnreachable, "store-unreachable"},
    {Fault::kStoreSlow, "store-slow"},
    {Fault::kConflictingWrite, "conflicting-write"},
    {Fault::kPartitionOut, "partition-out"},
    {Fault::kPartitionIn, "partition-in"},
    {Fault::kPartitionBoth, "partition-both"},
    {Fault::kVmListStale, "vm-list-stale"},
    {Fault::kVmListWrong, "vm-list-wrong"},
    {Fault::kVmLost, "vm-lost"},
    {Fault::kRackLost, "rack-lost"},
    {Fault::kZoneLost, "zone-lost"},
    {Fault::kEndpointRefuses, "endpoint-refuses"},
    {Fault::kEndpointFails, "endpoint-fails"},
    {Fault::kEndpointClosesEarly, "endpoint-closes-early"},
    {Fault::kEndpointClosesLate, "endpoint-closes-late"},
    {Fault::kEndpointTruncates, "endpoint-truncates"},
    {Fault::kEndpointAnswersLate, "endpoint-answers-late"},
}};

}  // namespace

std::string_view FaultName(Fault fault) {
  for (const auto& [it, name] : kNames) {
    if (it == fault) return name;
  }
  return "unknown";
}

std::optional<Fault> FaultByName(std::string_view name) {
  for (const auto& [fault, it] : kNames) {
    if (it == name) return fault;
  }
  return std::nullopt;
}

const std::vector<Fault>& AllFaults() {
  static const std::vector<Fault> faults = [] {
    std::vector<Fault> all;
    for (const auto& [fault, name] : kNames) {
      if (fault != Fault::kNone) all.push_back(fault);
    }
    return all;
  }();
  return faults;
}

}  // namespace pomelomill::testing
