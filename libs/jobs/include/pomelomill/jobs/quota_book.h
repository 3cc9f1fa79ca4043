#pragma once

#include <cstdint>
#include <map>

#include "pomelomill/base/ids.h"
#include "pomelomill/config/declarations.h"

namespace pomelomill {

/// Cores that each team holds against its quota. A team may hold more than its
/// quota as long as nobody else wants the room; that part is borrowed.
class QuotaBook {
 public:
  struct TeamUse {
    double quota = 0;
    double weight = 1;
    double used = 0;
    /// Part of `used` that urgent tasks hold.
    double urgent = 0;
    /// Part of `used` whose release was asked for.
    double leaving = 0;
    /// Cores promised to tasks that wait for others to leave.
    double claimed = 0;

    /// Cores held once all leaving tasks are gone and all claims are used.
    double Settled() const { return used - leaving + claimed; }
    double Borrowed() const {
      return Settled() > quota ? Settled() - quota : 0;
    }
  };

  void Declare(const std::map<TeamId, TeamDeclaration>& teams);

  /// Scales the quotas down when they add up to more than the capacity, so
  /// that all of them can be kept at once.
  void SetCapacity(double cores);

  /// Never fails: a team that is not declared has a quota of 0.
  TeamUse& Use(const TeamId& team);

  /// Share of its entitlement that a team holds; smaller shares are served
  /// first. The weight orders teams without a quota.
  static double Share(const TeamUse& use);

  const std::map<TeamId, TeamUse>& teams() const { return teams_; }

 private:
  void Scale();

  std::map<TeamId, TeamDeclaration> declared_;
  std::map<TeamId, TeamUse> teams_;
  double capacity_ = 0;
};

}  // namespace pomelomill
