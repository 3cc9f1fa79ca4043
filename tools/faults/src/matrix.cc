#include "matrix.h"

#include <algorithm>

#include "pomelomill/base/hash.h"
#include "text.h"

namespace pomelomill::faults {
namespace {

using testing::ArmedFault;
using testing::Fault;

/// Faults that need no message at the step.
bool IsOfProcess(Fault fault) {
  switch (fault) {
    case Fault::kCrashBefore:
    case Fault::kCrashAfter:
    case Fault::kPauseBefore:
    case Fault::kPauseAfter:
    case Fault::kClockJump:
    case Fault::kClockFast:
    case Fault::kClockSlow:
      return true;
    default:
      return false;
  }
}

bool AppliesToKind(StepKind kind, Fault fault) {
  if (kind == StepKind::kLocal && !IsOfProcess(fault)) return false;
  switch (fault) {
    case Fault::kNone:
      return false;
    case Fault::kEndpointRefuses:
    case Fault::kEndpointFails:
    case Fault::kEndpointClosesEarly:
    case Fault::kEndpointClosesLate:
    case Fault::kEndpointTruncates:
    case Fault::kEndpointAnswersLate:
      return kind == StepKind::kEndpointCall;
    case Fault::kStaleRead:
      return kind == StepKind::kStoreRead;
    case Fault::kSlowWatch:
      return kind == StepKind::kStoreWatch;
    case Fault::kConflictingWrite:
      return kind == StepKind::kStoreRead || kind == StepKind::kStoreWrite;
    case Fault::kVmListStale:
    case Fault::kVmListWrong:
      return kind == StepKind::kPlatformRead;
    case Fault::kDuplicate:
      // A request travels to an endpoint on one TCP connection, which does
      // not duplicate.
      return kind != StepKind::kEndpointCall;
    case Fault::kLoseResponse:
    case Fault::kLateResponse:
      // A message between entries is one way: the same as for the request.
      return kind != StepKind::kPeerMessage;
    default:
      return true;
  }
}

bool NeedsVms(Fault fault) {
  return fault == Fault::kVmLost || fault == Fault::kRackLost ||
         fault == Fault::kZoneLost;
}

bool NeedsStore(Fault fault) {
  return fault == Fault::kStoreDown || fault == Fault::kStoreUnreachable ||
         fault == Fault::kStoreSlow;
}

/// A partition cuts a process off from its peers, the store and the platform.
bool NeedsPeers(Fault fault) {
  return fault == Fault::kPartitionOut || fault == Fault::kPartitionIn ||
         fault == Fault::kPartitionBoth;
}

struct Candidate {
  const Step* step = nullptr;
  Fault fault = Fault::kNone;
};

Cell MakeCell(const Group& group, CellKind kind,
              const std::vector<const Step*>& steps,
              const std::vector<ArmedFault>& faults) {
  Cell cell{kind, group.name, {}};
  for (const Step* it : steps) {
    for (const ArmedFault& prelude : it->prelude) {
      if (std::find(cell.faults.begin(), cell.faults.end(), prelude) ==
          cell.faults.end()) {
        cell.faults.push_back(prelude);
      }
    }
  }
  cell.faults.insert(cell.faults.end(), faults.begin(), faults.end());
  return cell;
}

}  // namespace

std::vector<Fault> FaultsFor(const Group& group, const Step& step) {
  std::vector<Fault> faults;
  for (Fault it : testing::AllFaults()) {
    if (!AppliesToKind(step.kind, it)) continue;
    if (NeedsVms(it) && !group.has_vms) continue;
    if (NeedsStore(it) && !group.has_store) continue;
    if (NeedsPeers(it) && !group.has_store && !group.has_peers) continue;
    faults.push_back(it);
  }
  return faults;
}

std::vector<Cell> CellsOf(const Group& group, double pair_share,
                          std::uint64_t seed) {
  std::vector<Cell> cells{{CellKind::kNoFault, group.name, {}}};
  std::vector<Candidate> candidates;
  for (const Step& step : group.steps) {
    for (Fault fault : FaultsFor(group, step)) {
      candidates.push_back({&step, fault});
    }
  }
  for (const Candidate& it : candidates) {
    cells.push_back(MakeCell(group, CellKind::kSingle, {it.step},
                             {{it.step->name, it.fault, 1}}));
    cells.push_back(
        MakeCell(group, CellKind::kTwice, {it.step},
                 {{it.step->name, it.fault, 1}, {it.step->name, it.fault, 2}}));
  }
  Random random(seed);
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    for (std::size_t j = i + 1; j < candidates.size(); ++j) {
      if (!random.Chance(pair_share)) continue;
      const Candidate& a = candidates[i];
      const Candidate& b = candidates[j];
      const std::uint32_t second = a.step == b.step ? 2 : 1;
      cells.push_back(MakeCell(
          group, CellKind::kPair, {a.step, b.step},
          {{a.step->name, a.fault, 1}, {b.step->name, b.fault, second}}));
    }
  }
  return cells;
}

CellResult RunCell(const Group& group, const Cell& cell, std::uint64_t seed,
                   const std::function<void(World&)>& prepare) {
  World world(StableHash(group.name, seed));
  if (prepare) prepare(world);
  for (const ArmedFault& it : cell.faults) world.injector.Arm(it);
  const std::shared_ptr<void> state = group.start(world);
  world.timers.Advance(group.length);
  CellResult result;
  result.is_reached =
      cell.faults.empty() ||
      std::any_of(world.injector.passages().begin(),
                  world.injector.passages().end(), [&](const auto& it) {
                    return it.fault == cell.faults.back().fault &&
                           it.step == cell.faults.back().step &&
                           it.occurrence == cell.faults.back().occurrence;
                  });
  result.findings = CheckProperties(group.properties, world.Collect());
  return result;
}

std::string RepeatCommand(const Cell& cell, std::uint64_t seed) {
  std::string steps;
  std::string faults;
  for (const ArmedFault& it : cell.faults) {
    if (!steps.empty()) {
      steps += ',';
      faults += ',';
    }
    steps += Text(it.step, '@', it.occurrence);
    faults += testing::FaultName(it.fault);
  }
  if (steps.empty()) {
    return Text("scripts/faults.sh --seed ", seed, " --group ", cell.group);
  }
  return Text("scripts/faults.sh --seed ", seed, " --step ", steps, " --fault ",
              faults);
}

}  // namespace pomelomill::faults
