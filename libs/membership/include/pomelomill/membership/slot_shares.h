#pragma once

#include <optional>
#include <string>
#include <vector>

#include "pomelomill/membership/fencing_view.h"
#include "pomelomill/platform/region_state.h"

namespace pomelomill {

/// One change of the share list, for the next write of the region state.
struct ShareChange {
  std::vector<EntryShare> shares;
  /// What changed and why, for the decision log.
  std::string reason;
};

/// Decides how slot shares pass between entries; used by the holder of the
/// control lease. Each change happens in two writes: the first one takes a
/// share out of use or announces it, and the second one follows only when
/// every entry keeps to the first or is certain to have fenced itself. So the
/// shares in use never add up to more than the whole, whichever of these
/// states each entry acts on.
class SlotShares {
 public:
  /// The next change to write, or nothing. `version` is the version of the
  /// region state that holds `shares`, `changed_at` the version at which this
  /// holder first saw this share list; a later version than the true one only
  /// delays. `self_shares_version` is as in MemberReport.
  static std::optional<ShareChange> Next(const std::vector<EntryShare>& shares,
                                         Version changed_at,
                                         Version self_shares_version,
                                         const FencingView& view, Instant now);
};

}  // namespace pomelomill
