#include "ownership.h"

#include <algorithm>
#include <optional>
#include <set>
#include <string_view>
#include <utility>

#include "pomelomill/store/store_error.h"
#include "store_keys.h"

namespace pomelomill {
namespace {

constexpr Duration kCommitTimeout = std::chrono::milliseconds(900);
constexpr Duration kRetryPause = std::chrono::milliseconds(150);
/// While no role has an owner, roles are acquired only when this long has
/// passed since the latest registration of an entry; otherwise the first entry
/// of a new deployment would acquire all roles.
constexpr Duration kStartupWait = std::chrono::milliseconds(500);
/// Upper bound of that wait, counted from the first registration since the last
/// role lost its owner. Also waited for while the registered entries cannot
/// carry all roles: entries that were cut off from the store do not register
/// all at once.
constexpr Duration kMaxStartupWait = std::chrono::milliseconds(2000);
/// The other entries try to acquire a role this long after the entry that was
/// chosen for it.
constexpr Duration kFallbackDelay = std::chrono::milliseconds(600);
/// A role is handed over when there has been reason to for this long, which
/// lets entries that start together register, and this long after the role
/// before: the next owner of that one loads the pool's jobs first.
constexpr Duration kHandOverInterval = std::chrono::seconds(1);
/// An entry that has handed a role over tries to acquire it again only after
/// this long without an owner. Longer than kFallbackDelay, so that any other
/// entry gets it first.
constexpr Duration kRetakeDelay = std::chrono::seconds(2);

}  // namespace

class Ownership::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(const TransactionClient& client, TimerService& timers,
       const LeaseKeeper& lease, const ClusterView& view,
       const JobServiceSettings& settings, IncarnationId incarnation,
       OwnershipHooks hooks)
      : client_(client),
        timers_(timers),
        lease_(lease),
        view_(view),
        settings_(settings),
        incarnation_(std::move(incarnation)),
        hooks_(std::move(hooks)) {}

  void Halt() {
    is_halted_ = true;
    hooks_ = {};
    timers_.Cancel(decision_timer_);
  }

  void SetRoles(Roles roles) {
    roles_ = std::move(roles);
    Update();
  }

  void Update() {
    if (is_halted_) return;
    DropLost();
    // The changes of one answer of the store are delivered one by one. In
    // between the view shows roles without owners and few members, of which no
    // conclusion may be drawn.
    ScheduleDecision(Duration(0));
  }

  void Leave() {
    is_leaving_ = true;
    Transaction transaction;
    transaction.removals = {MemberKey(settings_.entry)};
    // The fleet role needs no final write before its release, unlike pools.
    if (const auto fleet = owned_.find(PoolId(kFleetRole));
        fleet != owned_.end() && !handing_over_.contains(fleet->first)) {
      transaction.expectations = {
          {OwnerKey(fleet->first), Version(fleet->second.value())}};
      transaction.removals.push_back(OwnerKey(fleet->first));
    }
    client_.commit(std::move(transaction), kCommitTimeout,
                   [](const Result<CommitResult>&) {});
  }

  const std::map<PoolId, FencingToken>& owned() const { return owned_; }

 private:
  bool IsThisProcess(const OwnerRecord& owner) const {
    return owner.entry == settings_.entry && owner.incarnation == incarnation_;
  }

  MemberRecord SelfRecord() const {
    return {settings_.peer_address, settings_.zone, incarnation_,
            settings_.capacity};
  }

  void Event(std::string_view event, std::vector<EventField> fields) {
    if (hooks_.event) hooks_.event("ownership", event, std::move(fields));
  }

  void Decide() {
    // Also without a lease: all leases may lapse together.
    TrackMembers(timers_.Now());
    if (is_leaving_ || !lease_.is_held()) return;
    Register();
    Acquire();
  }

  void DropLost() {
    std::vector<PoolId> lost;
    for (const auto& [pool, token] : owned_) {
      const auto* const owner = view_.FindOwner(pool);
      if (owner == nullptr) {
        // Before the watch has delivered the acquisition, a missing owner does
        // not mean that the role was lost.
        if (observed_.contains(pool)) lost.push_back(pool);
      } else if (owner->version.value() == token.value()) {
        observed_.insert(pool);
      } else if (owner->version.value() > token.value()) {
        lost.push_back(pool);
      }
    }
    for (const PoolId& it : lost) {
      owned_.erase(it);
      observed_.erase(it);
      handing_over_.erase(it);
      Event("lost", {{"pool", it.value()}});
      hooks_.on_lost(it);
    }
  }

  void Register() {
    const auto it = view_.members().find(settings_.entry);
    const bool is_registered = it != view_.members().end() &&
                               it->second.incarnation == incarnation_ &&
                               registered_lease_ == lease_.lease();
    if (is_registered || is_registering_) return;
    is_registering_ = true;
    const LeaseId lease = lease_.lease();
    Transaction transaction;
    transaction.writes = {
        {MemberKey(settings_.entry), EncodeMember(SelfRecord()), lease}};
    client_.commit(
        std::move(transaction), kCommitTimeout,
        [weak = weak_from_this(), lease](const Result<CommitResult>& result) {
          const auto self = weak.lock();
          if (self == nullptr || self->is_halted_) return;
          self->is_registering_ = false;
          if (result && result->is_committed) self->registered_lease_ = lease;
          self->ScheduleDecision(kRetryPause);
        });
  }

  void Acquire() {
    const Instant now = timers_.Now();
    const Instant earliest =
        view_.owners().empty() ? FirstAcquisitionTime(now) : now;
    std::vector<PoolId> unowned;
    std::map<PoolId, EntryId> owned;
    std::map<PoolId, Version> stale;
    for (const auto& [role, kind] : roles_) {
      const auto* const owner = view_.FindOwner(role);
      if (owner != nullptr) {
        acquirable_at_.erase(role);
        // Owned by a previous process of this entry whose lease has not
        // expired.
        if (owner->record.entry == settings_.entry &&
            !IsThisProcess(owner->record) && !owned_.contains(role)) {
          stale[role] = owner->version;
          continue;
        }
        owned[role] = owner->record.entry;
        // A commit with an unknown outcome turned out to have taken effect.
        if (IsThisProcess(owner->record) && !acquiring_.contains(role))
          RecordAcquisition(role, owner->version);
      } else if (owned_.contains(role)) {
        // The watch has not delivered the acquisition yet.
        owned[role] = settings_.entry;
      } else {
        unowned.push_back(role);
        // While no role has an owner, new registrations extend the startup
        // wait. Once a role has an owner, the other roles keep the time
        // computed before, so that they are still left to the entries chosen
        // for them.
        Instant& at = acquirable_at_.try_emplace(role, earliest).first->second;
        if (view_.owners().empty()) at = earliest;
      }
    }
    if (!stale.empty()) TakeBack(stale, owned);
    RemoveHandedOver();
    if (unowned.empty()) {
      if (stale.empty()) ConsiderHandOver(owned, now);
      return;
    }
    const auto chosen = ChooseOwners(roles_, owned, view_.members());
    for (const PoolId& role : unowned) {
      Instant due = acquirable_at_[role];
      const auto choice = chosen.find(role);
      if (choice == chosen.end() || choice->second != settings_.entry)
        due += kFallbackDelay;
      if (const auto it = retake_at_.find(role); it != retake_at_.end())
        due = std::max(due, it->second);
      if (now >= due) {
        TryAcquire(role, Version());
      } else {
        ScheduleDecision(due - now);
      }
    }
  }

  /// Acquires those of the previous process's roles that this entry can carry,
  /// adds them to `owned`, and makes the others available to other entries.
  void TakeBack(const std::map<PoolId, Version>& stale,
                std::map<PoolId, EntryId>& owned) {
    std::set<PoolId> roles;
    for (const auto& [role, version] : stale) roles.insert(role);
    auto members = view_.members();
    members[settings_.entry] = SelfRecord();
    const auto kept =
        ChooseRolesToTakeBack(roles_, roles, settings_.entry, owned, members);
    for (const auto& [role, version] : stale) {
      if (kept.contains(role)) {
        owned[role] = settings_.entry;
        TryAcquire(role, version);
      } else if (!acquiring_.contains(role) && !removing_.contains(role)) {
        Event("remove-stale-owner",
              {{"pool", role.value()},
               {"reason", "more than this entry's share"},
               {"members", std::to_string(members.size())}});
        RemoveOwnerKey(role, version);
      }
    }
  }

  /// `owned` holds the owners of all roles.
  void ConsiderHandOver(const std::map<PoolId, EntryId>& owned, Instant now) {
    if (!handing_over_.empty()) return;
    const auto next =
        ChooseHandOver(roles_, settings_.entry, owned, view_.members());
    if (!next) return hand_over_at_.reset();
    if (!hand_over_at_) hand_over_at_ = now + kHandOverInterval;
    if (now < *hand_over_at_) return ScheduleDecision(*hand_over_at_ - now);
    hand_over_at_ = now + kHandOverInterval;
    const PoolId role = next->role;
    handing_over_[role] = false;
    retake_at_[role] = now + kRetakeDelay;
    Event("hand-over", {{"pool", role.value()},
                        {"to", next->to.value()},
                        {"reason", next->reason},
                        {"roles", std::to_string(owned_.size())},
                        {"members", std::to_string(view_.members().size())}});
    auto done = [weak = weak_from_this(), role] {
      const auto self = weak.lock();
      if (self == nullptr || self->is_halted_) return;
      const auto it = self->handing_over_.find(role);
      if (it == self->handing_over_.end()) return;
      it->second = true;
      self->RemoveHandedOver();
    };
    if (!hooks_.on_hand_over) return done();
    hooks_.on_hand_over(role, std::move(done));
  }

  /// PoolOwner::Release() has removed the owner key of a pool, unless the
  /// transaction failed: a key without a process that acts on it must not stay.
  void RemoveHandedOver() {
    for (const auto& [role, is_released] : handing_over_) {
      const auto it = owned_.find(role);
      if (is_released && it != owned_.end())
        RemoveOwnerKey(role, Version(it->second.value()));
    }
  }

  /// Removes the owner key if it still has the given version.
  void RemoveOwnerKey(const PoolId& pool, Version version) {
    if (!removing_.insert(pool).second) return;
    Transaction transaction;
    transaction.expectations = {{OwnerKey(pool), version}};
    transaction.removals = {OwnerKey(pool)};
    client_.commit(
        std::move(transaction), kCommitTimeout,
        [weak = weak_from_this(), pool](const Result<CommitResult>&) {
          const auto self = weak.lock();
          if (self == nullptr || self->is_halted_) return;
          self->removing_.erase(pool);
          // Repeated until the watch delivers the removal.
          self->ScheduleDecision(kRetryPause);
        });
  }

  void TrackMembers(Instant now) {
    const bool is_vacant = view_.owners().empty();
    if (is_vacant && !is_vacant_) {
      first_join_at_.reset();
      is_wait_logged_ = false;
    }
    is_vacant_ = is_vacant;
    if (view_.registrations().empty()) {
      first_join_at_.reset();
      last_join_at_.reset();
    }
    if (view_.registrations() == registrations_) return;
    for (const auto& [entry, version] : view_.registrations()) {
      const auto known = registrations_.find(entry);
      if (known != registrations_.end() && known->second == version) continue;
      last_join_at_ = now;
      if (!first_join_at_) first_join_at_ = now;
    }
    registrations_ = view_.registrations();
  }

  /// Earliest time to acquire a role while no role has an owner. In the past
  /// when the entries registered long ago: a takeover has no wait.
  Instant FirstAcquisitionTime(Instant now) {
    // No entry is registered; the wait begins with the first registration.
    if (!last_join_at_) return now + kStartupWait;
    const Instant latest =
        first_join_at_.value_or(*last_join_at_) + kMaxStartupWait;
    const bool can_carry = CanCarryRoles(roles_, view_.members());
    const Instant due =
        can_carry ? std::min(*last_join_at_ + kStartupWait, latest) : latest;
    if (due > now && !std::exchange(is_wait_logged_, true)) {
      Event("startup-wait",
            {{"reason", can_carry ? "recent registration"
                                  : "the entries cannot carry all roles"},
             {"members", std::to_string(view_.members().size())},
             {"wait_ms", std::to_string(ToMillis(due - now))}});
    }
    return due;
  }

  void TryAcquire(const PoolId& pool, Version expected) {
    if (!acquiring_.insert(pool).second) return;
    acquisition_lease_[pool] = lease_.lease();
    Transaction transaction;
    transaction.expectations = {{OwnerKey(pool), expected}};
    transaction.writes = {{OwnerKey(pool),
                           EncodeOwner({settings_.entry, incarnation_}),
                           lease_.lease()}};
    client_.commit(
        std::move(transaction), kCommitTimeout,
        [weak = weak_from_this(), pool](const Result<CommitResult>& result) {
          const auto self = weak.lock();
          if (self != nullptr && !self->is_halted_)
            self->OnAcquire(pool, result);
        });
  }

  void OnAcquire(const PoolId& pool, const Result<CommitResult>& result) {
    acquiring_.erase(pool);
    if (result && result->is_committed)
      return RecordAcquisition(pool, result->version);
    // The conflict may be with this process's own earlier commit, whose
    // response was lost.
    if (result) {
      for (const StoredKey& it : result->current) {
        const auto owner = DecodeOwner(it.value);
        if (it.key == OwnerKey(pool) && it.version != Version() && owner &&
            IsThisProcess(*owner))
          return RecordAcquisition(pool, it.version);
      }
    }
    ScheduleDecision(kRetryPause);
  }

  void RecordAcquisition(const PoolId& pool, Version version) {
    const FencingToken token(version.value());
    if (is_leaving_ || owned_.contains(pool)) return;
    owned_[pool] = token;
    Event("acquired", {{"pool", pool.value()},
                       {"token", std::to_string(token.value())},
                       {"roles", std::to_string(owned_.size())},
                       {"members", std::to_string(view_.members().size())}});
    hooks_.on_acquired(pool, token, acquisition_lease_[pool]);
  }

  void ScheduleDecision(Duration pause) {
    const Instant when = timers_.Now() + pause;
    if (is_decision_scheduled_ && decision_at_ <= when) return;
    timers_.Cancel(decision_timer_);
    is_decision_scheduled_ = true;
    decision_at_ = when;
    decision_timer_ = timers_.ScheduleAt(when, [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (self == nullptr || self->is_halted_) return;
      self->is_decision_scheduled_ = false;
      self->DropLost();
      self->Decide();
    });
  }

  const TransactionClient& client_;
  TimerService& timers_;
  const LeaseKeeper& lease_;
  const ClusterView& view_;
  const JobServiceSettings& settings_;
  const IncarnationId incarnation_;
  OwnershipHooks hooks_;
  Roles roles_;
  std::map<PoolId, FencingToken> owned_;
  /// Owned roles whose owner key the watch has delivered.
  std::set<PoolId> observed_;
  /// Roles whose acquisition is in flight.
  std::set<PoolId> acquiring_;
  /// Roles the removal of whose owner key is in flight.
  std::set<PoolId> removing_;
  /// Roles that are being handed over, and whether the receiver of the hook has
  /// stopped acting as the owner.
  std::map<PoolId, bool> handing_over_;
  /// Earliest time of the next hand-over while there is reason for one.
  std::optional<Instant> hand_over_at_;
  /// Earliest time to acquire each role again that was handed over.
  std::map<PoolId, Instant> retake_at_;
  /// Time from which the chosen entry may acquire each role without an owner.
  std::map<PoolId, Instant> acquirable_at_;
  /// Registrations of the view as of the latest update.
  std::map<EntryId, Version> registrations_;
  /// Time of the first registration since the last role lost its owner.
  std::optional<Instant> first_join_at_;
  std::optional<Instant> last_join_at_;
  /// Whether no role had an owner as of the latest update.
  bool is_vacant_ = true;
  bool is_wait_logged_ = false;
  /// Lease to which the latest acquisition of each role is attached.
  std::map<PoolId, LeaseId> acquisition_lease_;
  /// Lease to which the entry's registration is attached.
  LeaseId registered_lease_;
  Instant decision_at_{};
  TimerId decision_timer_ = 0;
  bool is_decision_scheduled_ = false;
  bool is_registering_ = false;
  bool is_leaving_ = false;
  bool is_halted_ = false;
};

Ownership::Ownership(const TransactionClient& client, TimerService& timers,
                     const LeaseKeeper& lease, const ClusterView& view,
                     const JobServiceSettings& settings,
                     IncarnationId incarnation, OwnershipHooks hooks)
    : impl_(std::make_shared<Impl>(client, timers, lease, view, settings,
                                   std::move(incarnation), std::move(hooks))) {}

Ownership::~Ownership() { impl_->Halt(); }

void Ownership::Update() { impl_->Update(); }
void Ownership::SetRoles(Roles roles) { impl_->SetRoles(std::move(roles)); }
void Ownership::Leave() { impl_->Leave(); }
const std::map<PoolId, FencingToken>& Ownership::owned() const {
  return impl_->owned();
}

}  // namespace pomelomill
