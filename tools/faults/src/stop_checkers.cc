#include <map>
#include <optional>

#include "checkers.h"
#include "text.h"

namespace pomelomill::faults {
namespace {

/// P6: a leaving endpoint receives no new work after this time.
constexpr Duration kLeavingBound = std::chrono::seconds(3);

/// The time in which a VM is leaving because of one intent.
struct Leaving {
  Intent intent;
  Instant from;
  std::optional<Instant> to;
};

std::map<IntentId, Leaving> AllLeaving(const Evidence& evidence) {
  std::map<IntentId, Leaving> all;
  for (const RegionWrite& write : evidence.region_writes) {
    for (const auto& [id, intent] : write.state.intents) {
      // A start takes a VM back; it is not leaving.
      if (intent.kind == IntentKind::kStart) continue;
      if (intent.step == IntentStep::kDone) continue;
      all.emplace(id, Leaving{intent, write.at, std::nullopt});
    }
    for (auto& [id, leaving] : all) {
      const auto it = write.state.intents.find(id);
      const bool is_open = it != write.state.intents.end() &&
                           it->second.step != IntentStep::kDone;
      if (!is_open && !leaving.to) leaving.to = write.at;
    }
  }
  return all;
}

}  // namespace

Violations LeavingChecker::Check(const Evidence& evidence) const {
  Violations found;
  for (const auto& [id, leaving] : AllLeaving(evidence)) {
    for (const auto& run : evidence.runs) {
      if (run.vm != leaving.intent.vm) continue;
      // Probes and work after the restart belong to the next generation.
      if (run.generation > leaving.intent.generation) continue;
      if (run.start <= leaving.from + kLeavingBound) continue;
      if (leaving.to && run.start >= *leaving.to) continue;
      found.push_back(Text(run.vm, " began ", run.request.id, " from ",
                           run.sender, " at ", AtText(run.start),
                           " although intent ", id, " stands since ",
                           AtText(leaving.from)));
    }
  }
  return found;
}

Violations GracefulStopChecker::Check(const Evidence& evidence) const {
  Violations found;
  for (const auto& run : evidence.runs) {
    if (run.how == testing::RunEnd::kCutByStop) {
      found.push_back(Text(run.vm, " was stopped at ", AtText(run.end),
                           " while it ran ", run.request.id, " from ",
                           run.sender));
    }
  }
  return found;
}

}  // namespace pomelomill::faults
