#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "log.h"
#include "pomelomill/base/ids.h"
#include "pomelomill/entry/entry_node.h"
#include "pomelomill/platform/region_state.h"

namespace pomelomill {

/// State of one entry at one moment, as far as its log reports on it.
struct EntrySnapshot {
  EntryStatus entry;
  /// Null until a region state is in force.
  std::shared_ptr<const RegionState> state;
  std::set<VmId> ejected;
  bool is_store_reachable = true;
};

/// Turns differences between snapshots into log lines, so that the number of
/// lines depends on changes and not on requests. Pure: lines go to the hook.
class ChangeLog {
 public:
  using LineHook = std::function<void(LogPart, LogLevel, const std::string&)>;

  explicit ChangeLog(LineHook line) : line_(std::move(line)) {}

  /// Reports what differs from the snapshot before. The first snapshot is
  /// compared with an entry that has just started.
  void Observe(EntrySnapshot next);

 private:
  void CompareEntry(const EntryStatus& next);
  void CompareStates(const EntrySnapshot& next);
  void CompareEjected(const EntrySnapshot& next);

  LineHook line_;
  EntrySnapshot last_;
  bool had_permit_ = false;
};

}  // namespace pomelomill
