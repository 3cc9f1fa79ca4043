#include "store_model.h"

#include <algorithm>
#include <utility>

#include "pomelomill/store/store_error.h"

namespace pomelomill {
namespace {

constexpr double kBurstSeconds = 0.25;

bool IsRead(StoreCallKind kind) {
  return kind == StoreCallKind::kGet || kind == StoreCallKind::kWatch ||
         kind == StoreCallKind::kRange;
}

void CountResult(CallCount& count, std::error_code ec) {
  if (!ec) {
    ++count.succeeded;
  } else if (ec == StoreError::kUnavailable) {
    ++count.unavailable;
  } else if (ec == StoreError::kRateLimited) {
    ++count.rate_limited;
  } else {
    ++count.refused;
  }
}

}  // namespace

StoreModel::StoreModel(TimerService& timers, const StoreModelOptions& options)
    : timers_(timers), options_(options) {}

StoreModel::~StoreModel() {
  for (const auto& [id, lease] : leases_) timers_.Cancel(lease.timer);
  for (const Waiter& it : waiters_) timers_.Cancel(it.timer);
}

std::error_code StoreModel::Refusal(StoreCallKind kind) {
  ++counter_.count(kind).started;
  if (is_down_) return StoreError::kUnavailable;
  const double rate =
      IsRead(kind) ? options_.reads_per_s : options_.writes_per_s;
  if (rate <= 0) return {};
  Bucket& bucket = IsRead(kind) ? reads_ : writes_;
  const Instant now = timers_.Now();
  const double burst = std::max(1.0, rate * kBurstSeconds);
  bucket.tokens =
      bucket.is_started
          ? std::min(burst, bucket.tokens + ToSeconds(now - bucket.at) * rate)
          : burst;
  bucket.is_started = true;
  bucket.at = now;
  if (bucket.tokens < 1) return StoreError::kRateLimited;
  bucket.tokens -= 1;
  return {};
}

template <typename T>
Result<T> StoreModel::Counted(StoreCallKind kind,
                              const std::function<Result<T>()>& run) {
  const std::error_code refusal = Refusal(kind);
  Result<T> result = refusal ? Result<T>(Unexpected(refusal)) : run();
  CountResult(counter_.count(kind),
              result ? std::error_code() : result.error());
  return result;
}

Version StoreModel::Apply(const std::string& key, std::string value,
                          const LeaseId& lease, bool exists) {
  Entry& entry = entries_[key];
  entry.version = entry.version.Next();
  entry.value = std::move(value);
  entry.lease = lease;
  entry.exists = exists;
  if (!exists) return entry.version;
  const StoreItem item{key, entry.value, entry.version};
  std::vector<Waiter> ready;
  for (auto it = waiters_.begin(); it != waiters_.end();) {
    if (it->key == key && item.version > it->after) {
      ready.push_back(std::move(*it));
      it = waiters_.erase(it);
    } else {
      ++it;
    }
  }
  for (const Waiter& it : ready) {
    timers_.Cancel(it.timer);
    it.done(item);
  }
  return item.version;
}

Result<StoreItem> StoreModel::Get(const std::string& key) {
  return Counted<StoreItem>(StoreCallKind::kGet, [&]() -> Result<StoreItem> {
    const auto it = entries_.find(key);
    if (it == entries_.end() || !it->second.exists)
      return Unexpected(StoreError::kNotFound);
    return StoreItem{key, it->second.value, it->second.version};
  });
}

Result<Version> StoreModel::Put(const std::string& key,
                                const std::string& value, Version expect,
                                const LeaseId& lease) {
  return Counted<Version>(StoreCallKind::kPut, [&]() -> Result<Version> {
    if (!lease.empty() && !leases_.contains(lease))
      return Unexpected(StoreError::kLeaseLapsed);
    if (version(key) != expect) return Unexpected(StoreError::kConflict);
    return Apply(key, value, lease, true);
  });
}

Result<Version> StoreModel::Erase(const std::string& key, Version expect) {
  return Counted<Version>(StoreCallKind::kErase, [&]() -> Result<Version> {
    const Version current = version(key);
    if (current == Version()) return Unexpected(StoreError::kNotFound);
    if (current != expect) return Unexpected(StoreError::kConflict);
    return Apply(key, "", LeaseId(), false);
  });
}

void StoreModel::Watch(const std::string& key, Version after, Duration wait,
                       WatchCallback done) {
  const std::error_code refusal = Refusal(StoreCallKind::kWatch);
  CountResult(counter_.count(StoreCallKind::kWatch), refusal);
  if (refusal) return done(Unexpected(refusal));
  const Version current = version(key);
  if (current > after)
    return done(StoreItem{key, entries_[key].value, current});
  waiters_.push_back({key, after, std::move(done)});
  const auto it = std::prev(waiters_.end());
  it->timer = timers_.ScheduleAfter(wait, [this, it] {
    const WatchCallback ended = std::move(it->done);
    const std::string name = std::move(it->key);
    waiters_.erase(it);
    ended(StoreItem{name, "", Version()});
  });
}

Result<std::vector<StoreItem>> StoreModel::Range(const std::string& prefix) {
  return Counted<std::vector<StoreItem>>(StoreCallKind::kRange, [&] {
    std::vector<StoreItem> items;
    for (auto it = entries_.lower_bound(prefix);
         it != entries_.end() && it->first.starts_with(prefix); ++it) {
      if (it->second.exists)
        items.push_back({it->first, it->second.value, it->second.version});
    }
    return Result<std::vector<StoreItem>>(std::move(items));
  });
}

Result<LeaseId> StoreModel::Grant(Duration ttl) {
  return Counted<LeaseId>(StoreCallKind::kGrantLease, [&] {
    const LeaseId id("lease-" + std::to_string(next_lease_++));
    leases_[id] = {ttl, ExpiryTimer(id, ttl)};
    return Result<LeaseId>(id);
  });
}

Result<LeaseId> StoreModel::Renew(const LeaseId& lease) {
  return Counted<LeaseId>(StoreCallKind::kRenewLease, [&]() -> Result<LeaseId> {
    const auto it = leases_.find(lease);
    if (it == leases_.end()) return Unexpected(StoreError::kLeaseLapsed);
    timers_.Cancel(it->second.timer);
    it->second.timer = ExpiryTimer(lease, it->second.ttl);
    return lease;
  });
}

Result<LeaseId> StoreModel::Revoke(const LeaseId& lease) {
  return Counted<LeaseId>(StoreCallKind::kRevokeLease, [&] {
    Expire(lease);
    return Result<LeaseId>(lease);
  });
}

TimerId StoreModel::ExpiryTimer(const LeaseId& lease, Duration ttl) {
  return timers_.ScheduleAfter(ttl, [this, lease] { Expire(lease); });
}

void StoreModel::Expire(const LeaseId& lease) {
  const auto it = leases_.find(lease);
  if (it == leases_.end()) return;
  timers_.Cancel(it->second.timer);
  leases_.erase(it);
  std::vector<std::string> keys;
  for (const auto& [key, entry] : entries_) {
    if (entry.exists && entry.lease == lease) keys.push_back(key);
  }
  for (const std::string& key : keys) Apply(key, "", LeaseId(), false);
}

void StoreModel::set_down(bool is_down) {
  is_down_ = is_down;
  if (!is_down) return;
  const std::list<Waiter> broken = std::exchange(waiters_, {});
  for (const Waiter& it : broken) {
    timers_.Cancel(it.timer);
    it.done(Unexpected(StoreError::kUnavailable));
  }
}

Duration StoreModel::ttl(const LeaseId& lease) const {
  const auto it = leases_.find(lease);
  return it == leases_.end() ? Duration(0) : it->second.ttl;
}

Version StoreModel::version(const std::string& key) const {
  const auto it = entries_.find(key);
  return it == entries_.end() || !it->second.exists ? Version()
                                                    : it->second.version;
}

}  // namespace pomelomill
