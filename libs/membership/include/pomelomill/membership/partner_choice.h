#pragma once

#include <vector>

#include "pomelomill/base/ids.h"
#include "pomelomill/base/random.h"
#include "pomelomill/membership/member_table.h"

namespace pomelomill {

/// Chooses the peers of the next round of exchanges.
class PartnerChoice {
 public:
  explicit PartnerChoice(std::uint64_t seed) : random_(seed) {}

  /// At most `partners_per_round` incarnations, those with the oldest attempt
  /// first and ties in random order. Members of other regions come only over
  /// the links of their pair of regions; lost members take at most one place,
  /// so that they do not slow down the exchanges with the others.
  std::vector<IncarnationId> Next(const MemberTable& table, Instant now);

  /// The members of `region` that this entry has a link to. Each region ranks
  /// its reachable entries by a hash, and the entries of equal rank exchange.
  static std::vector<IncarnationId> Links(const MemberTable& table,
                                          const RegionId& region, Instant now);

 private:
  Random random_;
};

}  // namespace pomelomill
