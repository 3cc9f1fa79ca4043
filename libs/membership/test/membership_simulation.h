#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "pomelomill/base/random.h"
#include "pomelomill/membership.h"

namespace pomelomill {

/// Faults put into the simulated adapter, each of which breaks one rule of
/// SendPermit or FencingView; the checks must notice every one of them.
enum class BrokenRule {
  kNone,
  /// An exchange counts from its response, not from its request.
  kContactFromResponse,
  /// Contact counts although the peer acts on a newer region state.
  kIgnoreVersions,
  /// A new lease permits sending without reading the region state again.
  kNoReadAfterRegistration,
  /// A listing counts for versions written after it was requested.
  kStaleListing,
  /// The holder allows for no clock drift.
  kNoDriftMargin,
};

/// Entries of one region, their store and their links in virtual time, driven
/// by a random schedule of partitions, pauses, delays, crashes, restarts and
/// changes of the control lease holder. Only membership itself is real.
class MembershipSimulation {
 public:
  MembershipSimulation(std::uint64_t seed, BrokenRule broken);

  /// Runs the schedule; returns what went wrong, or nothing.
  std::optional<std::string> Run(Duration length);

  std::size_t fenced() const { return fenced_.size(); }
  std::size_t share_changes() const { return share_changes_; }

 private:
  struct Entry;
  struct Lease {
    IncarnationId incarnation;
    Version version;
    Duration expires{};
  };

  Entry& AddEntry(int slot);
  /// The entry's own clock.
  Instant Clock(const Entry& entry) const;
  Duration Delay();
  void Later(Duration delay, std::function<void()> run);
  /// Delivers to an entry once it is neither paused nor gone.
  void Deliver(const std::shared_ptr<Entry>& to, std::function<void()> run);
  void ToStore(const std::shared_ptr<Entry>& from, std::function<void()> ask,
               std::function<void()> answer);

  void Act(const std::shared_ptr<Entry>& entry);
  void Exchange(const std::shared_ptr<Entry>& from,
                const IncarnationId& partner);
  void Register(const std::shared_ptr<Entry>& entry);
  void Renew(const std::shared_ptr<Entry>& entry);
  void Read(const std::shared_ptr<Entry>& entry);
  void List(const std::shared_ptr<Entry>& entry);
  void Write(const std::shared_ptr<Entry>& entry,
             std::vector<EntryShare> shares);
  void Conclude(const std::shared_ptr<Entry>& entry);
  void PutInForce(Entry& entry, Version version);
  MemberReport ReportOf(const Entry& entry) const;
  void Disturb();
  void ExpireLeases();
  std::optional<std::string> Check() const;

  Random random_;
  BrokenRule broken_;
  MembershipSettings settings_;
  double store_rate_ = 1;
  Duration now_{};
  std::uint64_t next_event_ = 0;
  std::map<std::pair<Duration, std::uint64_t>, std::function<void()>> events_;
  std::vector<std::shared_ptr<Entry>> entries_;
  std::map<std::pair<int, int>, bool> cut_;
  std::map<int, bool> store_cut_;
  std::map<int, Lease> leases_;
  /// Share lists of all versions of the region state, from version 1.
  std::vector<std::vector<EntryShare>> states_;
  std::shared_ptr<Entry> holder_;
  /// The highest version at which each incarnation was concluded to be fenced.
  std::map<IncarnationId, Version> fenced_;
  std::size_t share_changes_ = 0;
  std::uint64_t registrations_ = 0;
  int runs_ = 0;
};

}  // namespace pomelomill
