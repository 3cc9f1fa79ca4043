#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "pomelomill/base/timer_service.h"
#include "pomelomill/store/store_client.h"
#include "pomelomill/store/transaction_client.h"

namespace pomelomill {

/// What goes wrong between one client and the store.
struct StoreFaults {
  /// Calls get no answer and have no effect.
  bool is_cut = false;
  /// Calls end at once without an effect that the caller knows of.
  bool is_resetting = false;
  /// Calls are refused without effect.
  bool is_turned_away = false;
  /// Writes take effect, but their answers are lost.
  bool loses_answers = false;
  /// Writes get no answer and take effect this much later, if their conditions
  /// still hold; 0 for none.
  Duration late{};
  Duration latency = std::chrono::milliseconds(4);
  /// Calls take up to this much longer on their way, each another time, so
  /// that they overtake each other.
  Duration jitter{};
};

/// The users' key-value service: one version counter, transactions, prefix
/// watches, leases.
class FakeKvStore {
 public:
  explicit FakeKvStore(TimerService& timers) : timers_(timers) {}

  /// `faults` must outlive the client. Calls run on the store's timers and
  /// their callbacks on those of the client.
  TransactionClient Client(TimerService& client_timers,
                           const StoreFaults& faults);
  StoreClient Leases(TimerService& client_timers, const StoreFaults& faults);

  /// A write of the operator or a worker, which no fault touches.
  void Put(const std::string& key, const std::string& value);
  void Erase(const std::string& key);
  /// Empty when the key does not exist.
  std::string Value(const std::string& key) const;
  std::vector<std::string> Keys(const std::string& prefix) const;
  /// Watches that ask for changes up to now are told that these are gone.
  void DiscardHistory();
  /// Ends all leases and removes their keys.
  void RevokeLeases();
  std::uint64_t calls() const { return calls_; }

 private:
  struct Item {
    std::string value;
    std::uint64_t version = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct Lease {
    Duration ttl{};
    Instant ends{};
  };
  struct Waiter {
    std::string prefix;
    std::uint64_t after = 0;
    std::function<void(Result<PrefixRead>)> answer;
  };

  using Work = std::function<void()>;

  void Run(TimerService& client, const StoreFaults& faults, Duration timeout,
           std::function<Work(bool answered)> call, Work refused,
           Work unanswered, bool is_write);
  Duration Jitter(Duration most) const;
  void ExpireLeases();
  void EndLease(std::uint64_t id);
  void Change(const std::string& key, const Item* item);
  Result<CommitResult> Commit(const Transaction& transaction);
  PrefixRead ChangesAfter(const std::string& prefix, std::uint64_t after) const;
  void NotifyWaiters();

  TimerService& timers_;
  std::map<std::string, Item> items_;
  std::map<std::uint64_t, Lease> leases_;
  std::vector<StoredKey> history_;
  std::map<std::uint64_t, Waiter> waiters_;
  std::uint64_t version_ = 10;
  std::uint64_t history_begin_ = 10;
  std::uint64_t next_lease_ = 1;
  std::uint64_t next_waiter_ = 1;
  std::uint64_t calls_ = 0;
};

}  // namespace pomelomill
