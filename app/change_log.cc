#include "change_log.h"

#include <utility>

namespace pomelomill {
namespace {

std::string SharesText(const std::vector<EntryShare>& shares) {
  std::string text;
  for (const EntryShare& it : shares) {
    if (!text.empty()) text += ", ";
    text += it.entry.value() + ' ' + std::to_string(it.weight);
    if (it.phase == SharePhase::kJoining) text += " joining";
    if (it.phase == SharePhase::kLeaving) text += " leaving";
  }
  return text.empty() ? "none" : text;
}

const char* BasisText(PermitBasis basis) {
  return basis == PermitBasis::kLease ? "lease" : "contacts";
}

}  // namespace

void ChangeLog::Observe(EntrySnapshot next) {
  if (next.is_store_reachable != last_.is_store_reachable) {
    if (next.is_store_reachable) {
      line_(LogPart::kStore, LogLevel::kInfo, "store reachable again");
    } else {
      line_(LogPart::kStore, LogLevel::kWarning, "store unreachable");
    }
  }
  CompareEntry(next.entry);
  CompareStates(next);
  CompareEjected(next);
  last_ = std::move(next);
}

void ChangeLog::CompareEntry(const EntryStatus& next) {
  const EntryStatus& last = last_.entry;
  if (next.config_revision > last.config_revision) {
    line_(LogPart::kControl, LogLevel::kInfo,
          "configuration revision " +
              std::to_string(next.config_revision.value()) + " in force");
  }
  if (next.is_holder && !last.is_holder) {
    line_(LogPart::kControl, LogLevel::kInfo, "control lease taken");
  } else if (!next.is_holder && last.is_holder) {
    line_(LogPart::kControl, LogLevel::kWarning, "control lease lost");
  }
  const bool is_allowed = next.permit.is_allowed();
  if (is_allowed == last.permit.is_allowed()) return;
  if (!is_allowed) {
    line_(LogPart::kMembership, LogLevel::kWarning, "send permit lost");
  } else {
    line_(LogPart::kMembership, LogLevel::kInfo,
          std::string("send permit ") + (had_permit_ ? "regained" : "gained") +
              " by " + BasisText(next.permit.basis));
    had_permit_ = true;
  }
}

void ChangeLog::CompareStates(const EntrySnapshot& next) {
  if (!next.state || next.state == last_.state) return;
  if (!last_.state || next.state->shares != last_.state->shares) {
    line_(LogPart::kMembership, LogLevel::kInfo,
          "slot shares changed to " + SharesText(next.state->shares));
  }
  for (const auto& [id, wave] : next.state->waves) {
    if (last_.state) {
      const auto before = last_.state->waves.find(id);
      if (before != last_.state->waves.end() &&
          before->second.phase == wave.phase)
        continue;
    }
    if (wave.phase == WavePhase::kStoppedByItself) {
      line_(LogPart::kControl, LogLevel::kWarning,
            "wave " + id.value() + " stopped: " + wave.reason);
    } else if (wave.phase == WavePhase::kRunning) {
      line_(LogPart::kControl, LogLevel::kInfo,
            "wave " + id.value() + " running");
    } else if (wave.phase == WavePhase::kDone) {
      line_(LogPart::kControl, LogLevel::kInfo, "wave " + id.value() + " done");
    }
  }
}

void ChangeLog::CompareEjected(const EntrySnapshot& next) {
  for (const VmId& vm : next.ejected) {
    if (!last_.ejected.contains(vm)) {
      line_(LogPart::kRouting, LogLevel::kWarning,
            "endpoint " + vm.value() + " ejected");
    }
  }
  for (const VmId& vm : last_.ejected) {
    if (next.ejected.contains(vm)) continue;
    const bool is_known = next.state && next.state->vms.contains(vm);
    line_(LogPart::kRouting, LogLevel::kInfo,
          "endpoint " + vm.value() +
              (is_known ? " returned" : " left the region while ejected"));
  }
}

}  // namespace pomelomill
