#include "pomelomill/jobtesting/fake_kv_store.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "pomelomill/store/store_error.h"

namespace pomelomill {
namespace {

StoredKey ToStoredKey(const std::string& key, const std::string& value,
                      std::uint64_t version, std::uint64_t created) {
  return {.key = key,
          .value = value,
          .version = Version(version),
          .created = Version(created)};
}

/// Answers exactly once, on the client's timers.
template <typename T>
auto Once(TimerService& client, StoreCallback<T> done) {
  auto shared = std::make_shared<StoreCallback<T>>(std::move(done));
  return [&client, shared](Result<T> result) {
    if (!*shared) return;
    client.ScheduleAfter(Duration(0),
                         [done = std::exchange(*shared, nullptr),
                          result = std::move(result)] { done(result); });
  };
}

}  // namespace

Duration FakeKvStore::Jitter(Duration most) const {
  // Multiplicative hashing of the call's number: the same in every run.
  constexpr std::uint64_t kMultiplier = 0x9E3779B97F4A7C15;
  constexpr std::uint64_t kSteps = 1024;
  const std::uint64_t step = (calls_ * kMultiplier >> 40) % kSteps;
  return most * static_cast<Duration::rep>(step) /
         static_cast<Duration::rep>(kSteps);
}

void FakeKvStore::Run(TimerService& client, const StoreFaults& faults,
                      Duration timeout, std::function<Work(bool)> call,
                      Work refused, Work unanswered, bool is_write) {
  ++calls_;
  if (faults.is_cut) {
    client.ScheduleAfter(timeout, std::move(unanswered));
    return;
  }
  const Duration half = faults.latency / 2;
  if (faults.is_resetting) {
    client.ScheduleAfter(faults.latency, std::move(unanswered));
    return;
  }
  if (faults.is_turned_away) {
    client.ScheduleAfter(faults.latency, std::move(refused));
    return;
  }
  const bool is_lost =
      is_write && (faults.loses_answers || faults.late > Duration(0));
  if (is_lost) client.ScheduleAfter(timeout, std::move(unanswered));
  timers_.ScheduleAfter(
      half + Jitter(faults.jitter) + (is_write ? faults.late : Duration(0)),
      [this, call = std::move(call), is_lost, half] {
        ExpireLeases();
        Work answer = call(!is_lost);
        if (!is_lost && answer) timers_.ScheduleAfter(half, std::move(answer));
      });
}

TransactionClient FakeKvStore::Client(TimerService& client_timers,
                                      const StoreFaults& faults) {
  TransactionClient client;
  TimerService* const timers = &client_timers;
  const StoreFaults* const fault = &faults;
  client.read = [=, this](const std::string& key, Duration timeout,
                          StoreCallback<StoredKey> done) {
    const auto answer = Once<StoredKey>(*timers, std::move(done));
    const auto fail = [answer] {
      answer(Unexpected(StoreError::kUnavailable));
    };
    Run(
        *timers, *fault, timeout,
        [this, key, answer](bool) -> Work {
          const auto it = items_.find(key);
          if (it == items_.end())
            return [answer] { answer(Unexpected(StoreError::kNotFound)); };
          const Item& item = it->second;
          return [answer, found = ToStoredKey(key, item.value, item.version,
                                              item.created)] { answer(found); };
        },
        fail, fail, false);
  };
  client.read_prefix = [=, this](const std::string& prefix, Duration timeout,
                                 StoreCallback<PrefixRead> done) {
    const auto answer = Once<PrefixRead>(*timers, std::move(done));
    const auto fail = [answer] {
      answer(Unexpected(StoreError::kUnavailable));
    };
    Run(
        *timers, *fault, timeout,
        [this, prefix, answer](bool) -> Work {
          PrefixRead read;
          read.version = Version(version_);
          for (const auto& [key, item] : items_) {
            if (key.starts_with(prefix)) {
              read.items.push_back(
                  ToStoredKey(key, item.value, item.version, item.created));
            }
          }
          return [answer, read] { answer(read); };
        },
        fail, fail, false);
  };
  client.watch_prefix = [=, this](const std::string& prefix, Version after,
                                  Duration wait,
                                  StoreCallback<PrefixRead> done) {
    const auto answer = Once<PrefixRead>(*timers, std::move(done));
    const auto fail = [answer] {
      answer(Unexpected(StoreError::kUnavailable));
    };
    Run(
        *timers, *fault, wait + std::chrono::milliseconds(500),
        [=, this](bool) -> Work {
          if (after.value() < history_begin_)
            return [answer] { answer(Unexpected(StoreError::kHistoryLost)); };
          PrefixRead read = ChangesAfter(prefix, after.value());
          if (!read.items.empty()) return [answer, read] { answer(read); };
          const std::uint64_t id = next_waiter_++;
          waiters_[id] = {prefix, after.value(),
                          [=](Result<PrefixRead> result) {
                            // A cut that began meanwhile swallows the answer.
                            if (!fault->is_cut) answer(std::move(result));
                          }};
          timers_.ScheduleAfter(wait, [this, id] {
            const auto it = waiters_.find(id);
            if (it == waiters_.end()) return;
            const Waiter waiter = std::move(it->second);
            waiters_.erase(it);
            waiter.answer(PrefixRead{{}, Version(version_)});
          });
          return {};
        },
        fail, fail, false);
    // A waiting call whose connection died is noticed by its time-out.
    timers->ScheduleAfter(wait + std::chrono::milliseconds(700), fail);
  };
  client.commit = [=, this](const Transaction& transaction, Duration timeout,
                            StoreCallback<CommitResult> done) {
    const auto answer = Once<CommitResult>(*timers, std::move(done));
    Run(
        *timers, *fault, timeout,
        [this, transaction, answer](bool) -> Work {
          const auto result = Commit(transaction);
          return [answer, result] { answer(result); };
        },
        [answer] { answer(Unexpected(StoreError::kUnavailable)); },
        [answer] { answer(Unexpected(StoreError::kOutcomeUnknown)); }, true);
  };
  return client;
}

StoreClient FakeKvStore::Leases(TimerService& client_timers,
                                const StoreFaults& faults) {
  StoreClient client;
  TimerService* const timers = &client_timers;
  const StoreFaults* const fault = &faults;
  const auto run = [=, this](Duration timeout, StoreCallback<LeaseId> done,
                             std::function<Result<LeaseId>()> call) {
    const auto answer = Once<LeaseId>(*timers, std::move(done));
    Run(
        *timers, *fault, timeout,
        [answer, call = std::move(call)](bool) -> Work {
          const auto result = call();
          return [answer, result] { answer(result); };
        },
        [answer] { answer(Unexpected(StoreError::kUnavailable)); },
        [answer] { answer(Unexpected(StoreError::kOutcomeUnknown)); }, true);
  };
  client.grant_lease = [=, this](Duration ttl, Duration timeout,
                                 StoreCallback<LeaseId> done) {
    run(timeout, std::move(done), [this, ttl]() -> Result<LeaseId> {
      const std::uint64_t id = next_lease_++;
      leases_[id] = {ttl, timers_.Now() + ttl};
      return LeaseId(std::to_string(id));
    });
  };
  client.renew_lease = [=, this](const LeaseId& lease, Duration timeout,
                                 StoreCallback<LeaseId> done) {
    run(timeout, std::move(done), [this, lease]() -> Result<LeaseId> {
      const auto it = leases_.find(std::stoull(lease.value()));
      if (it == leases_.end()) return Unexpected(StoreError::kLeaseLapsed);
      it->second.ends = timers_.Now() + it->second.ttl;
      return lease;
    });
  };
  client.revoke_lease = [=, this](const LeaseId& lease, Duration timeout,
                                  StoreCallback<LeaseId> done) {
    run(timeout, std::move(done), [this, lease]() -> Result<LeaseId> {
      EndLease(std::stoull(lease.value()));
      return lease;
    });
  };
  return client;
}

void FakeKvStore::Put(const std::string& key, const std::string& value) {
  const Item item{.value = value};
  Change(key, &item);
}

void FakeKvStore::Erase(const std::string& key) { Change(key, nullptr); }

std::string FakeKvStore::Value(const std::string& key) const {
  const auto it = items_.find(key);
  return it == items_.end() ? "" : it->second.value;
}

std::vector<std::string> FakeKvStore::Keys(const std::string& prefix) const {
  std::vector<std::string> keys;
  for (const auto& [key, item] : items_) {
    if (key.starts_with(prefix)) keys.push_back(key);
  }
  return keys;
}

void FakeKvStore::DiscardHistory() {
  history_begin_ = version_ + 1;
  ++version_;
  history_.clear();
  auto waiters = std::exchange(waiters_, {});
  for (auto& [id, waiter] : waiters)
    waiter.answer(Unexpected(StoreError::kHistoryLost));
}

void FakeKvStore::RevokeLeases() {
  while (!leases_.empty()) EndLease(leases_.begin()->first);
}

void FakeKvStore::ExpireLeases() {
  std::vector<std::uint64_t> ended;
  for (const auto& [id, lease] : leases_) {
    if (lease.ends <= timers_.Now()) ended.push_back(id);
  }
  for (const std::uint64_t it : ended) EndLease(it);
}

void FakeKvStore::EndLease(std::uint64_t id) {
  leases_.erase(id);
  std::vector<std::string> keys;
  for (const auto& [key, item] : items_) {
    if (item.lease == id) keys.push_back(key);
  }
  for (const std::string& it : keys) Change(it, nullptr);
}

void FakeKvStore::Change(const std::string& key, const Item* item) {
  ++version_;
  StoredKey change{.key = key, .version = Version(version_)};
  if (item == nullptr) {
    if (items_.erase(key) == 0) return;
    change.is_removed = true;
  } else {
    Item& stored = items_[key];
    const std::uint64_t created =
        stored.version == 0 ? version_ : stored.created;
    stored = *item;
    stored.version = version_;
    stored.created = created;
    change.value = stored.value;
    change.created = Version(created);
  }
  history_.push_back(std::move(change));
  NotifyWaiters();
}

Result<CommitResult> FakeKvStore::Commit(const Transaction& transaction) {
  if (transaction.size() > kMaxTransactionEntries)
    return Unexpected(StoreError::kBadResponse);
  CommitResult result;
  result.is_committed = true;
  for (const auto& it : transaction.expectations) {
    const auto found = items_.find(it.key);
    const Item item = found == items_.end() ? Item{} : found->second;
    result.is_committed &= item.version == it.version.value();
    result.current.push_back(
        ToStoredKey(it.key, item.value, item.version, item.created));
  }
  if (!result.is_committed) return result;
  result.current.clear();
  for (const auto& it : transaction.writes) {
    const std::uint64_t lease =
        it.lease.empty() ? 0 : std::stoull(it.lease.value());
    if (lease != 0 && !leases_.contains(lease))
      return Unexpected(StoreError::kLeaseLapsed);
  }
  // All changes of a transaction share one version.
  const std::uint64_t version = version_ + 1;
  for (const auto& it : transaction.writes) {
    const Item item{
        .value = it.value,
        .lease = it.lease.empty() ? 0 : std::stoull(it.lease.value())};
    version_ = version - 1;
    Change(it.key, &item);
  }
  for (const std::string& it : transaction.removals) {
    if (!items_.contains(it)) continue;
    version_ = version - 1;
    Change(it, nullptr);
  }
  version_ = version;
  result.version = Version(version);
  return result;
}

PrefixRead FakeKvStore::ChangesAfter(const std::string& prefix,
                                     std::uint64_t after) const {
  PrefixRead read;
  read.version = Version(version_);
  for (const StoredKey& it : history_) {
    if (it.version.value() > after && it.key.starts_with(prefix))
      read.items.push_back(it);
  }
  return read;
}

void FakeKvStore::NotifyWaiters() {
  // Later in the same moment, so that a transaction is seen as a whole.
  timers_.ScheduleAfter(Duration(0), [this] {
    for (auto it = waiters_.begin(); it != waiters_.end();) {
      PrefixRead read = ChangesAfter(it->second.prefix, it->second.after);
      if (read.items.empty()) {
        ++it;
        continue;
      }
      const Waiter waiter = std::move(it->second);
      it = waiters_.erase(it);
      waiter.answer(std::move(read));
    }
  });
}

}  // namespace pomelomill
