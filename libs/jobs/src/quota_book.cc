#include "pomelomill/jobs/quota_book.h"

#include <algorithm>

namespace pomelomill {

void QuotaBook::Declare(const std::map<TeamId, TeamDeclaration>& teams) {
  declared_ = teams;
  Scale();
}

void QuotaBook::SetCapacity(double cores) {
  if (cores == capacity_) return;
  capacity_ = cores;
  Scale();
}

void QuotaBook::Scale() {
  double sum = 0;
  for (const auto& [id, team] : declared_) sum += team.quota_cores;
  const double scale =
      sum > capacity_ && sum > 0 && capacity_ > 0 ? capacity_ / sum : 1;
  for (auto& [id, use] : teams_) {
    if (!declared_.contains(id)) use.quota = 0;
  }
  for (const auto& [id, team] : declared_) {
    TeamUse& use = teams_[id];
    use.quota = team.quota_cores * scale;
    use.weight = team.weight > 0 ? team.weight : 1;
  }
}

QuotaBook::TeamUse& QuotaBook::Use(const TeamId& team) { return teams_[team]; }

double QuotaBook::Share(const TeamUse& use) {
  const double used = use.Settled();
  if (used < use.quota) return used / use.quota;
  // Above every quota, teams are ordered by what they borrow per weight.
  return 1 + (used - use.quota) / use.weight;
}

}  // namespace pomelomill
