#include <algorithm>
#include <map>
#include <set>

#include "checkers.h"
#include "text.h"

namespace pomelomill::faults {
namespace {

using testing::ProcessChange;

/// P8: in force everywhere within 10 s, or 2 s when nothing fails.
constexpr Duration kBoundWithFault = std::chrono::seconds(10);
constexpr Duration kBoundWithoutFault = std::chrono::seconds(2);

}  // namespace

Violations ConfigurationChecker::Check(const Evidence& evidence) const {
  Violations found;
  CheckWrites(evidence, found);
  CheckReports(evidence, found);
  CheckReverts(evidence, found);
  CheckReach(evidence, found);
  return found;
}

void ConfigurationChecker::CheckWrites(const Evidence& evidence,
                                       Violations& found) const {
  std::map<ApplyId, int> writes_of;
  const ConfigWrite* previous = nullptr;
  for (const ConfigWrite& it : evidence.config_writes) {
    if (previous && it.revision <= previous->revision) {
      found.push_back(Text("revision ", it.revision, " was written over ",
                           previous->revision, " at ", AtText(it.at)));
    }
    if (!it.apply.empty() && ++writes_of[it.apply] > 1) {
      found.push_back(
          Text("apply ", it.apply, " took effect again at ", AtText(it.at)));
    }
    previous = &it;
  }
}

void ConfigurationChecker::CheckReports(const Evidence& evidence,
                                        Violations& found) const {
  for (const ApplyReport& it : evidence.applies) {
    const auto write = std::find_if(
        evidence.config_writes.begin(), evidence.config_writes.end(),
        [&](const ConfigWrite& w) { return w.apply == it.id; });
    const bool is_written = write != evidence.config_writes.end();
    if (it.outcome == ApplyOutcome::kAccepted) {
      if (!is_written) {
        found.push_back(Text("apply ", it.id,
                             " was reported as accepted but never written"));
      } else if (write->revision != it.revision) {
        found.push_back(Text("apply ", it.id, " reported revision ",
                             it.revision, " but wrote ", write->revision));
      }
    }
    const bool is_own_write =
        std::any_of(evidence.config_writes.begin(),
                    evidence.config_writes.end(), [&](const ConfigWrite& w) {
                      return !it.writer.empty() && w.writer == it.writer &&
                             w.sequence == it.sequence;
                    });
    if ((it.outcome == ApplyOutcome::kConflict ||
         it.outcome == ApplyOutcome::kNotWritten) &&
        is_own_write) {
      found.push_back(Text("apply ", it.id,
                           " was reported as not written but took effect"));
    }
  }
}

void ConfigurationChecker::CheckReverts(const Evidence& evidence,
                                        Violations& found) const {
  std::map<std::string, Revision> highest;
  for (const InForce& it : evidence.in_force) {
    Revision& seen = highest[it.process];
    if (it.revision < seen) {
      found.push_back(Text(it.process, " reverted from revision ", seen, " to ",
                           it.revision, " at ", AtText(it.at)));
    }
    seen = std::max(seen, it.revision);
  }
}

void ConfigurationChecker::CheckReach(const Evidence& evidence,
                                      Violations& found) const {
  const Duration bound = evidence.healed ? kBoundWithFault : kBoundWithoutFault;
  for (const ConfigWrite& write : evidence.config_writes) {
    for (const ProcessRecord& process : evidence.processes) {
      if (!process.is_entry || !process.is_running || process.is_paused) {
        continue;
      }
      // The bound counts from acceptance, or from the end of what kept this
      // process from learning of it.
      Instant from = write.at;
      if (evidence.healed) from = std::max(from, *evidence.healed);
      for (const auto& event : process.events) {
        if (event.change == ProcessChange::kRestart ||
            event.change == ProcessChange::kWake) {
          from = std::max(from, event.at);
        }
      }
      if (from + bound > evidence.end) continue;
      const bool is_reached = std::any_of(
          evidence.in_force.begin(), evidence.in_force.end(),
          [&](const InForce& it) {
            return it.process == process.name &&
                   it.revision >= write.revision && it.at <= from + bound;
          });
      if (!is_reached) {
        found.push_back(Text("revision ", write.revision, " accepted at ",
                             AtText(write.at), " is not in force in ",
                             process.name, " at ", AtText(from + bound)));
      }
    }
  }
}

}  // namespace pomelomill::faults
