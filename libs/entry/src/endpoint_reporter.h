#pragma once

#include <set>

#include "pomelomill/base/ids.h"

namespace pomelomill {

class ExchangeBook;
struct LoadReport;
struct RegionState;

/// Tells peers which endpoints this entry has ejected or knows to be draining.
class EndpointReporter {
 public:
  /// Puts the condition of each VM of the region into the book. Good endpoints
  /// are listed only when they were reported otherwise before, so that messages
  /// do not grow with the fleet.
  void Publish(const RegionState& state, const LoadReport& load,
               ExchangeBook* book);

 private:
  /// Endpoints that were published as not good at some time.
  std::set<VmId> reported_;
};

}  // namespace pomelomill
