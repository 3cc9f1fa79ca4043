#include "pomelomill/membership/registrations.h"

#include <algorithm>
#include <utility>

namespace pomelomill {

void Registrations::Observe(const std::vector<Registration>& listing,
                            Version known, Instant sent, Instant received) {
  if (sent < sent_) return;
  sent_ = sent;
  if (!first_) first_ = received;
  std::map<IncarnationId, Registration> next;
  for (const Registration& item : listing) next.emplace(item.incarnation, item);
  for (const auto& [incarnation, item] : current_) {
    if (!next.contains(incarnation)) missed_.emplace(incarnation, received);
  }
  for (const auto& [incarnation, item] : next) missed_.erase(incarnation);
  // An entry missed for longer than the margin has lapsed with or without its
  // time, so forgetting the time changes no answer and keeps the map small.
  std::erase_if(missed_, [&](const auto& item) {
    return received - item.second > Margin() && received - *first_ > Margin();
  });
  current_ = std::move(next);
  known_ = std::max(known_, known);
}

void Registrations::Clear() { *this = Registrations(settings_); }

bool Registrations::HasLapsed(const IncarnationId& incarnation, Version version,
                              Instant now) const {
  if (!first_ || known_ < version || current_.contains(incarnation)) {
    return false;
  }
  const auto it = missed_.find(incarnation);
  const Instant absent_since = it == missed_.end() ? *first_ : it->second;
  return now - absent_since > Margin();
}

Duration Registrations::Margin() const {
  // The store deletes the key one time-to-live after the last renewal, by its
  // clock; the owner's clock may run slower.
  return settings_.Stretched(settings_.lease_ttl) - settings_.lease_ttl;
}

}  // namespace pomelomill
