#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "pomelomill/base/event_log.h"
#include "pomelomill/base/timer_service.h"
#include "pomelomill/jobserver/worker_calls.h"
#include "pomelomill/store/transaction_client.h"
#include "store_records.h"

namespace pomelomill {

struct PoolRosterHooks {
  /// The roster that the previous owner left has been read.
  std::function<void(const RosterRecord&)> on_read;
  /// Time after which no earlier owner extends leases of workers; it may become
  /// earlier, see StoreEarlierOwnersGone(). That it has passed is stored, so
  /// that the next owner needs to ask for the end of this one only.
  std::function<Instant()> alone_from;
  /// See RosterRecord::lease_terms.
  std::function<LeaseTerms()> lease_terms;
  /// The stored roster has been read, and its count of owners has been
  /// incremented for this owner and stored.
  std::function<void()> on_loaded;
  /// A changed list of workers has been stored.
  std::function<void()> on_stored;
  /// A transaction that was conditional on the pool's owner is stored.
  std::function<void(Version)> on_committed;
  /// The pool has another owner.
  std::function<void()> on_lost;
  /// The stored roster is malformed; an empty one is used instead.
  std::function<void(const std::string& key)> on_bad_record;
};

/// The stored roster of a pool: how many owners the pool has had, which gives
/// each owner its own run numbers, and the workers that may run its tasks. The
/// next owner reads from it which workers may have running tasks.
class PoolRoster {
 public:
  /// `owner` is this process.
  PoolRoster(const TransactionClient& client, TimerService& timers, PoolId pool,
             FencingToken token, OwnerRecord owner, PoolRosterHooks hooks);
  ~PoolRoster();
  PoolRoster(const PoolRoster&) = delete;
  PoolRoster& operator=(const PoolRoster&) = delete;

  /// Reads the stored roster and counts this owner; retries until it succeeds.
  void Load();
  /// Stores the workers that may run tasks of the pool, with their addresses.
  /// Does nothing when the list is unchanged or while a write is in flight; in
  /// the latter case it must be called again later.
  void SetWorkers(std::map<WorkerId, std::string> workers);
  /// Stores the present roster again, for a newer version of the store. Does
  /// nothing while a write is in flight.
  void Rewrite();
  /// PoolRosterHooks::alone_from has become earlier.
  void StoreEarlierOwnersGone();
  /// Removes the owner key and, if the roster is loaded, marks it as released.
  /// The owner must extend no lease after this call. `done` runs when the store
  /// has responded or the call has ended.
  void ReleasePool(std::function<void()> done);

  /// Whether the stored roster names the worker at the address, also after a
  /// write that is in flight.
  bool Contains(const WorkerAddress& worker) const;
  /// The roster that the previous owner left.
  const RosterRecord& previous() const;
  /// The roster that this owner last stored.
  const RosterRecord& current() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace pomelomill
