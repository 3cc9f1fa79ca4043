#include "pomelomill/membership/partner_choice.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include "pomelomill/base/hash.h"

namespace pomelomill {
namespace {

struct Candidate {
  Instant attempt;
  std::uint64_t tie = 0;
  IncarnationId incarnation;
};

/// Name of a pair of regions, the same from both sides.
std::string PairName(const RegionId& a, const RegionId& b) {
  return a < b ? a.value() + "/" + b.value() : b.value() + "/" + a.value();
}

using Rank = std::pair<std::uint64_t, IncarnationId>;

Rank RankOf(const std::string& pair, const MemberInfo& info) {
  return {StableHash(pair + "/" + info.incarnation.value()), info.incarnation};
}

}  // namespace

std::vector<IncarnationId> PartnerChoice::Links(const MemberTable& table,
                                                const RegionId& region,
                                                Instant now) {
  const std::string pair = PairName(table.self().region, region);
  std::vector<Rank> own = {RankOf(pair, table.self())};
  std::vector<Rank> remote;
  for (const auto& [incarnation, member] : table.members()) {
    const MemberHealth health = table.Health(incarnation, now);
    if (member.info.region == table.self().region) {
      // Ranks agree within a region because its entries see the same members
      // as alive; a difference costs an extra link for some rounds.
      if (health == MemberHealth::kAlive)
        own.push_back(RankOf(pair, member.info));
    } else if (member.info.region == region) {
      // Most entries never hear from members of other regions themselves.
      if (health != MemberHealth::kLost) {
        remote.push_back(RankOf(pair, member.info));
      }
    }
  }
  std::sort(own.begin(), own.end());
  std::sort(remote.begin(), remote.end());
  std::vector<IncarnationId> links;
  const std::size_t count =
      std::min(table.settings().links_per_region_pair, remote.size());
  for (std::size_t i = 0; i < count; ++i) {
    if (own[i % own.size()].second == table.self().incarnation) {
      links.push_back(remote[i].second);
    }
  }
  return links;
}

std::vector<IncarnationId> PartnerChoice::Next(const MemberTable& table,
                                               Instant now) {
  std::vector<Candidate> near;
  std::vector<Candidate> lost;
  std::set<RegionId> regions;
  const auto candidate = [&](const Member& member) {
    return Candidate{member.last_attempt.value_or(Instant::min()),
                     random_.Next(), member.info.incarnation};
  };
  for (const auto& [incarnation, member] : table.members()) {
    if (member.info.address.empty()) continue;
    if (member.info.region != table.self().region) {
      regions.insert(member.info.region);
      continue;
    }
    const bool is_lost = table.Health(incarnation, now) == MemberHealth::kLost;
    (is_lost ? lost : near).push_back(candidate(member));
  }
  std::vector<Candidate> far;
  for (const RegionId& region : regions) {
    for (const IncarnationId& incarnation : Links(table, region, now)) {
      far.push_back(candidate(*table.Find(incarnation)));
    }
  }
  const auto older = [](const Candidate& a, const Candidate& b) {
    return std::pair(a.attempt, a.tie) < std::pair(b.attempt, b.tie);
  };
  std::sort(near.begin(), near.end(), older);
  std::sort(far.begin(), far.end(), older);
  std::sort(lost.begin(), lost.end(), older);

  const std::size_t limit = table.settings().partners_per_round;
  std::vector<IncarnationId> chosen;
  const auto take = [&](const std::vector<Candidate>& from, std::size_t count) {
    for (std::size_t i = 0;
         i < std::min(count, from.size()) && chosen.size() < limit; ++i) {
      chosen.push_back(from[i].incarnation);
    }
  };
  // One place each for another region and for a lost member; the rest of the
  // places, at least half of them, keep the region itself together.
  take(lost, near.size() + 2 > limit ? 1 : limit);
  take(far, near.size() + 2 > limit ? 1 : limit);
  take(near, limit);
  return chosen;
}

}  // namespace pomelomill
