#include "membership_simulation.h"

#include <algorithm>
#include <utility>

namespace pomelomill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(50);
constexpr int kSlots = 5;

Duration Scale(Duration d, double factor) {
  return std::chrono::duration_cast<Duration>(d * factor);
}

/// Part of `whole` that the incarnation may use, rounded down.
std::uint64_t ActivePart(const std::vector<EntryShare>& shares,
                         const IncarnationId& incarnation,
                         std::uint64_t whole) {
  std::uint64_t sum = 0;
  std::uint64_t own = 0;
  for (const EntryShare& it : shares) {
    sum += it.weight;
    if (it.incarnation == incarnation && it.phase == SharePhase::kActive)
      own += it.weight;
  }
  return sum == 0 ? 0 : own * whole / sum;
}

}  // namespace

struct MembershipSimulation::Entry {
  Entry(int slot_in, MemberInfo info_in, const MembershipSettings& settings,
        const MembershipSettings& holder_settings, std::uint64_t seed)
      : slot(slot_in),
        info(std::move(info_in)),
        table(info, holder_settings),
        permit(info.incarnation, settings),
        partners(seed),
        registrations(holder_settings) {}

  int slot;
  MemberInfo info;
  double rate = 1;
  Duration offset{};
  bool is_gone = false;
  Duration paused_until{};
  MemberTable table;
  SendPermit permit;
  PartnerChoice partners;
  Version version;
  bool has_lease = false;
  bool is_asking = false;
  Registrations registrations;
  Version changed_at;
  std::vector<EntryShare> shares;
};

MembershipSimulation::MembershipSimulation(std::uint64_t seed,
                                           BrokenRule broken)
    : random_(seed), broken_(broken) {
  // Short times and a large drift give a short schedule many chances.
  settings_.exchange_interval = milliseconds(200);
  settings_.suspect_after = milliseconds(700);
  settings_.contact_window = seconds(2);
  settings_.lease_ttl = seconds(2);
  settings_.clock_drift = 0.1;
  store_rate_ = random_.Chance(0.5) ? 1.1 : 0.9;
  const int count = 2 + static_cast<int>(random_.Below(kSlots - 1));
  std::vector<EntryShare> shares;
  for (int slot = 0; slot < count; ++slot) {
    const Entry& entry = AddEntry(slot);
    shares.push_back(
        {.entry = entry.info.entry, .incarnation = entry.info.incarnation});
  }
  states_.push_back(shares);
  for (const auto& entry : entries_) {
    PutInForce(*entry, Version(1));
    for (const auto& other : entries_) {
      if (other != entry) (void)entry->table.Learn(other->info);
    }
  }
  holder_ = entries_[0];
}

MembershipSimulation::Entry& MembershipSimulation::AddEntry(int slot) {
  const std::string name = "entry-" + std::to_string(slot);
  const MemberInfo info{
      .entry = EntryId(name),
      .incarnation = IncarnationId(name + "#" + std::to_string(++runs_)),
      .region = RegionId("r"),
      .address = name,
      .registration = Version()};
  MembershipSettings holder_settings = settings_;
  if (broken_ == BrokenRule::kNoDriftMargin) holder_settings.clock_drift = 0;
  auto entry = std::make_shared<Entry>(slot, info, settings_, holder_settings,
                                       random_.Next());
  entry->rate = random_.Chance(0.5) ? 1.1 : 0.9;
  entry->offset = seconds(random_.Below(1000));
  entries_.push_back(entry);
  return *entry;
}

Instant MembershipSimulation::Clock(const Entry& entry) const {
  return Instant(Scale(now_, entry.rate) + entry.offset);
}

Duration MembershipSimulation::Delay() {
  if (random_.Chance(0.1)) return milliseconds(random_.Below(4000));
  return milliseconds(random_.Below(60));
}

void MembershipSimulation::Later(Duration delay, std::function<void()> run) {
  events_.emplace(std::pair(now_ + delay, next_event_++), std::move(run));
}

void MembershipSimulation::Deliver(const std::shared_ptr<Entry>& to,
                                   std::function<void()> run) {
  if (to->is_gone) return;
  if (to->paused_until > now_) {
    Later(to->paused_until - now_,
          [this, to, run = std::move(run)] { Deliver(to, run); });
    return;
  }
  run();
}

void MembershipSimulation::ToStore(const std::shared_ptr<Entry>& from,
                                   std::function<void()> ask,
                                   std::function<void()> answer) {
  if (store_cut_[from->slot]) return;
  Later(Delay(),
        [this, from, ask = std::move(ask), answer = std::move(answer)] {
          ExpireLeases();
          ask();
          if (store_cut_[from->slot]) return;
          Later(Delay(), [this, from, answer] { Deliver(from, answer); });
        });
}

void MembershipSimulation::PutInForce(Entry& entry, Version version) {
  if (version <= entry.version) return;
  const auto& shares = states_[version.value() - 1];
  if (shares != entry.shares) entry.changed_at = version;
  entry.version = version;
  entry.shares = shares;
  entry.permit.StateInForce(version, shares);
}

MemberReport MembershipSimulation::ReportOf(const Entry& entry) const {
  MemberReport report;
  report.info = entry.info;
  report.state_version = entry.version;
  report.shares_version = entry.version;
  report.contacts = entry.table.Contacts(entry.shares, Clock(entry));
  return report;
}

void MembershipSimulation::Exchange(const std::shared_ptr<Entry>& from,
                                    const IncarnationId& partner) {
  const auto it = std::find_if(
      entries_.begin(), entries_.end(),
      [&](const auto& entry) { return entry->info.incarnation == partner; });
  const std::shared_ptr<Entry> to = *it;
  const Instant sent = Clock(*from);
  from->table.Attempted(partner, sent);
  if (cut_[{from->slot, to->slot}]) return;
  Later(Delay(), [this, from, to, sent, request = ReportOf(*from)] {
    Deliver(to, [this, from, to, sent, request] {
      if (!to->table.Heard(request, Clock(*to))) return;
      if (cut_[{to->slot, from->slot}]) return;
      if (request.state_version > to->version && random_.Chance(0.3)) {
        PutInForce(*to, request.state_version);
      }
      Later(Delay(), [this, from, to, sent, reply = ReportOf(*to)] {
        Deliver(from, [this, from, to, sent, reply] {
          if (!from->table.Heard(reply, Clock(*from))) return;
          from->permit.ExchangeAnswered(
              to->info.incarnation,
              broken_ == BrokenRule::kContactFromResponse ? Clock(*from) : sent,
              broken_ == BrokenRule::kIgnoreVersions ? Version()
                                                     : reply.state_version);
          if (reply.state_version > from->version && random_.Chance(0.3)) {
            PutInForce(*from, reply.state_version);
          }
        });
      });
    });
  });
}

void MembershipSimulation::Register(const std::shared_ptr<Entry>& entry) {
  const Instant sent = Clock(*entry);
  auto version = std::make_shared<Version>();
  ToStore(
      entry,
      [this, entry, version] {
        if (entry->is_gone || leases_.contains(entry->slot)) return;
        *version = Version(++registrations_);
        leases_[entry->slot] = {
            .incarnation = entry->info.incarnation,
            .version = *version,
            .expires = now_ + Scale(settings_.lease_ttl, 1 / store_rate_)};
      },
      [this, entry, version, sent] {
        if (version->value() == 0) return;
        entry->info.registration = *version;
        entry->table.set_registration(*version);
        entry->has_lease = true;
        entry->permit.Registered(sent, settings_.lease_ttl, Clock(*entry));
        if (broken_ == BrokenRule::kNoReadAfterRegistration) {
          entry->permit.StateRead(entry->version, Clock(*entry));
        }
      });
}

void MembershipSimulation::Renew(const std::shared_ptr<Entry>& entry) {
  const Instant sent = Clock(*entry);
  auto is_renewed = std::make_shared<bool>(false);
  ToStore(
      entry,
      [this, entry, is_renewed] {
        const auto it = leases_.find(entry->slot);
        if (it == leases_.end() ||
            it->second.incarnation != entry->info.incarnation) {
          return;
        }
        *is_renewed = true;
        it->second.expires = now_ + Scale(settings_.lease_ttl, 1 / store_rate_);
      },
      [this, entry, is_renewed, sent] {
        if (*is_renewed) {
          entry->permit.LeaseRenewed(sent, settings_.lease_ttl);
        } else {
          entry->has_lease = false;
          entry->permit.LeaseLapsed();
        }
      });
}

void MembershipSimulation::Read(const std::shared_ptr<Entry>& entry) {
  const Instant sent = Clock(*entry);
  auto version = std::make_shared<Version>();
  ToStore(
      entry, [this, version] { *version = Version(states_.size()); },
      [this, entry, version, sent] {
        PutInForce(*entry, *version);
        entry->permit.StateRead(*version, sent);
      });
}

void MembershipSimulation::List(const std::shared_ptr<Entry>& entry) {
  const Version known = entry->version;
  const Instant sent = Clock(*entry);
  auto listing = std::make_shared<std::vector<Registration>>();
  ToStore(
      entry,
      [this, listing] {
        for (const auto& [slot, lease] : leases_) {
          listing->push_back({.entry = EntryId("entry-" + std::to_string(slot)),
                              .incarnation = lease.incarnation,
                              .version = lease.version});
        }
      },
      [this, entry, known, sent, listing] {
        entry->registrations.Observe(
            *listing,
            broken_ == BrokenRule::kStaleListing ? Version(UINT64_MAX) : known,
            sent, Clock(*entry));
        for (const Registration& item : *listing) {
          (void)entry->table.Learn({.entry = item.entry,
                                    .incarnation = item.incarnation,
                                    .region = RegionId("r"),
                                    .address = item.entry.value(),
                                    .registration = item.version});
        }
      });
}

void MembershipSimulation::Write(const std::shared_ptr<Entry>& entry,
                                 std::vector<EntryShare> shares) {
  const Version expected = entry->version;
  auto version = std::make_shared<Version>();
  ToStore(
      entry,
      [this, expected, version, shares = std::move(shares)] {
        if (states_.size() != expected.value()) return;
        if (states_.back() != shares) ++share_changes_;
        states_.push_back(shares);
        *version = Version(states_.size());
      },
      [this, entry, version] {
        if (version->value() != 0) PutInForce(*entry, *version);
      });
}

void MembershipSimulation::Conclude(const std::shared_ptr<Entry>& entry) {
  const FencingView view(entry->table, entry->registrations, entry->shares,
                         entry->version);
  const Instant now = Clock(*entry);
  for (const EntryShare& share : entry->shares) {
    if (view.IsFenced(share.incarnation, entry->version, now)) {
      Version& version = fenced_[share.incarnation];
      version = std::max(version, entry->version);
    }
  }
  const auto change = SlotShares::Next(entry->shares, entry->changed_at,
                                       entry->version, view, now);
  if (change) {
    Write(entry, change->shares);
  } else if (random_.Chance(0.2)) {
    // Another change of the region state, such as a new intent.
    Write(entry, entry->shares);
  }
}

void MembershipSimulation::Act(const std::shared_ptr<Entry>& entry) {
  if (entry->is_gone || entry->paused_until > now_) return;
  const Instant now = Clock(*entry);
  if (random_.Chance(0.25)) {
    for (const IncarnationId& partner :
         entry->partners.Next(entry->table, now)) {
      Exchange(entry, partner);
    }
  }
  if (random_.Chance(0.15)) {
    entry->has_lease ? Renew(entry) : Register(entry);
  }
  if (random_.Chance(0.1)) Read(entry);
  if (entry != holder_) return;
  if (random_.Chance(0.3)) List(entry);
  if (random_.Chance(0.5)) Conclude(entry);
}

void MembershipSimulation::ExpireLeases() {
  std::erase_if(leases_, [this](const auto& item) {
    return item.second.expires <= now_;
  });
}

void MembershipSimulation::Disturb() {
  if (random_.Chance(0.02)) {
    const int a = static_cast<int>(random_.Below(kSlots));
    const int b = static_cast<int>(random_.Below(kSlots));
    cut_[{a, b}] = random_.Chance(0.6);
    if (random_.Chance(0.5)) cut_[{b, a}] = cut_[{a, b}];
  }
  if (random_.Chance(0.02)) {
    store_cut_[static_cast<int>(random_.Below(kSlots))] = random_.Chance(0.5);
  }
  if (random_.Chance(0.005)) {
    // Two groups that do not reach each other.
    const std::uint64_t group = random_.Below(1 << kSlots);
    for (int a = 0; a < kSlots; ++a) {
      for (int b = 0; b < kSlots; ++b) {
        cut_[{a, b}] = ((group >> a) & 1U) != ((group >> b) & 1U);
      }
    }
  }
  if (random_.Chance(0.01)) {
    cut_.clear();
    store_cut_.clear();
  }
  const auto& entry = entries_[random_.Below(entries_.size())];
  if (random_.Chance(0.01)) {
    entry->paused_until = now_ + milliseconds(random_.Below(6000));
  }
  if (random_.Chance(0.004)) {
    // A replacement starts; the old run is killed or left running.
    if (random_.Chance(0.5)) entry->is_gone = true;
    Entry& added = AddEntry(entry->slot);
    for (const auto& other : entries_) {
      if (other->is_gone || other->info.incarnation == added.info.incarnation) {
        continue;
      }
      (void)added.table.Learn(other->info);
      (void)other->table.Learn(added.info);
    }
  }
  if (random_.Chance(0.005) || holder_->is_gone) {
    const auto& next = entries_[random_.Below(entries_.size())];
    if (!next->is_gone) {
      holder_ = next;
      holder_->registrations.Clear();
      holder_->changed_at = holder_->version;
    }
  }
}

std::optional<std::string> MembershipSimulation::Check() const {
  // Shares are compared in units of 1/5040, which all sums up to 10 divide.
  constexpr std::uint64_t kWhole = 5040;
  std::uint64_t used = 0;
  std::map<int, IncarnationId> users;
  for (const auto& entry : entries_) {
    if (entry->is_gone) continue;
    const Permit permit = entry->permit.Check(Clock(*entry));
    if (!permit.is_allowed()) continue;
    const auto it = fenced_.find(entry->info.incarnation);
    if (it != fenced_.end() && entry->version < it->second) {
      return entry->info.incarnation.value() + " may send at version " +
             std::to_string(entry->version.value()) +
             " although it counts as fenced at " +
             std::to_string(it->second.value());
    }
    const std::uint64_t share =
        ActivePart(entry->shares, entry->info.incarnation, kWhole);
    used += share;
    if (share == 0) continue;
    const auto [user, is_first] =
        users.emplace(entry->slot, entry->info.incarnation);
    if (!is_first) {
      return user->second.value() + " and " + entry->info.incarnation.value() +
             " both use a share";
    }
  }
  if (used > kWhole) return "shares in use add up to more than the whole";
  return std::nullopt;
}

std::optional<std::string> MembershipSimulation::Run(Duration length) {
  while (now_ < length) {
    now_ += kStep;
    ExpireLeases();
    while (!events_.empty() && events_.begin()->first.first <= now_) {
      auto node = events_.extract(events_.begin());
      node.mapped()();
    }
    Disturb();
    const std::vector<std::shared_ptr<Entry>> entries = entries_;
    for (const auto& entry : entries) Act(entry);
    if (auto fault = Check()) {
      return *fault + " at " + std::to_string(ToMillis(now_)) + " ms";
    }
  }
  return std::nullopt;
}

}  // namespace pomelomill
