#pragma once

#include "pomelomill/base/ids.h"

namespace pomelomill {

struct EntryShare;
struct LoadReport;
struct RegionState;

/// The share of an incarnation in the region state; null when it has none.
const EntryShare* FindShare(const RegionState& state,
                            const IncarnationId& incarnation);

/// Whether this entry has slots to serve with. A share grows only some seconds
/// after the region state that gives it; until then every request would be
/// refused.
class SlotReadiness {
 public:
  explicit SlotReadiness(IncarnationId self);

  void Update(const RegionState& state, const LoadReport& load);

  /// Once there were slots, endpoints that fail later change nothing; only the
  /// loss of the share does. True as well when the region has no endpoints.
  bool has_slots() const { return has_slots_; }

 private:
  IncarnationId self_;
  bool has_slots_ = false;
};

}  // namespace pomelomill
