#include "pomelomill/base/decision_log.h"

#include <algorithm>
#include <utility>

namespace pomelomill {

std::uint64_t DecisionLog::Record(Decision decision) {
  decision.sequence = next_sequence_++;
  decisions_.push_back(std::move(decision));
  if (decisions_.size() > capacity_) decisions_.pop_front();
  return decisions_.empty() ? next_sequence_ - 1 : decisions_.back().sequence;
}

std::vector<Decision> DecisionLog::Explain(std::string_view kind,
                                           std::string_view name) const {
  std::vector<Decision> found;
  const auto matches = [&](const Subject& s) {
    return s.kind == kind && s.name == name;
  };
  for (const Decision& it : decisions_) {
    if (std::any_of(it.subjects.begin(), it.subjects.end(), matches))
      found.push_back(it);
  }
  return found;
}

}  // namespace pomelomill
