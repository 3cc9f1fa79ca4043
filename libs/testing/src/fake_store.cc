#include "pomelomill/testing/fake_store.h"

#include <algorithm>
#include <utility>

#include "pomelomill/store/store_error.h"

namespace pomelomill::testing {
namespace {

/// The client of a watch gives up this long after the wait has passed.
constexpr Duration kWatchGrace = std::chrono::seconds(1);
/// A slow watch reports a change this late; longer than the 10 s of P8.
constexpr Duration kSlowWatchDelay = std::chrono::seconds(12);

template <typename T>
Result<T> Failed(StoreError e) {
  return Unexpected(make_error_code(e));
}

}  // namespace

std::string StoreCallName(StoreCall call) {
  switch (call) {
    case StoreCall::kGet:
      return "get";
    case StoreCall::kPut:
      return "put";
    case StoreCall::kErase:
      return "erase";
    case StoreCall::kWatch:
      return "watch";
    case StoreCall::kRange:
      return "range";
    case StoreCall::kGrantLease:
      return "grant-lease";
    case StoreCall::kRenewLease:
      return "renew-lease";
    case StoreCall::kRevokeLease:
      return "revoke-lease";
  }
  return "unknown";
}

FakeStore::FakeStore(VirtualTimerService& world, FaultInjector* injector)
    : world_(world), transport_(world, injector), tokens_at_(world.Now()) {
  transport_.drops_request = [this](const FakeProcess&) {
    return is_unreachable_;
  };
}

StoreClient FakeStore::ClientFor(FakeProcess& process, StepName step_name) {
  if (!step_name) {
    step_name = [](StoreCall call, const std::string&) {
      return "store." + StoreCallName(call);
    };
  }
  const auto unknown = make_error_code(StoreError::kOutcomeUnknown);
  const auto unavailable = make_error_code(StoreError::kUnavailable);
  // Runs `action` at the store unless the store refuses the call.
  auto carry = [this, &process, step_name]<typename T>(
                   StoreCall call, const std::string& key, Duration timeout,
                   std::error_code timeout_error, StoreCallback<T> callback,
                   std::function<Result<T>(Fault)> action) {
    transport_.Carry<T>(
        process, step_name(call, key), timeout, timeout_error,
        [this, call, key, action = std::move(action), name = process.name()](
            Fault fault, const std::function<void(Result<T>)>& respond) {
          const auto refusal = Refusal();
          Result<T> result =
              refusal ? Result<T>(Unexpected(*refusal)) : action(fault);
          Note(name, call, key, result ? std::error_code() : result.error());
          respond(std::move(result));
        },
        std::move(callback));
  };
  const std::string name = process.name();

  StoreClient client;
  client.get = [this, carry, unavailable](const std::string& key,
                                          Duration timeout,
                                          StoreCallback<StoreItem> callback) {
    carry.operator()<StoreItem>(
        StoreCall::kGet, key, timeout, unavailable, std::move(callback),
        [this, key](Fault fault) {
          return DoGet(key, is_stale_ || fault == Fault::kStaleRead);
        });
  };
  client.put = [this, carry, unknown, name](
                   const std::string& key, const std::string& value,
                   Version expect, const LeaseId& lease, Duration timeout,
                   StoreCallback<Version> callback) {
    carry.operator()<Version>(StoreCall::kPut, key, timeout, unknown,
                              std::move(callback),
                              [this, name, key, value, expect, lease](Fault) {
                                return DoPut(name, key, value, expect, lease);
                              });
  };
  client.erase = [this, carry, unknown, name](const std::string& key,
                                              Version expect, Duration timeout,
                                              StoreCallback<Version> callback) {
    carry.operator()<Version>(StoreCall::kErase, key, timeout, unknown,
                              std::move(callback),
                              [this, name, key, expect](Fault) {
                                return DoErase(name, key, expect);
                              });
  };
  client.watch = [this, step_name, unavailable, &process, name](
                     const std::string& key, Version after, Duration wait,
                     StoreCallback<StoreItem> callback) {
    transport_.Carry<StoreItem>(
        process, step_name(StoreCall::kWatch, key), wait + kWatchGrace,
        unavailable,
        [this, key, after, wait, name](
            Fault fault, std::function<void(Result<StoreItem>)> respond) {
          const auto refusal = Refusal();
          Note(name, StoreCall::kWatch, key,
               refusal ? *refusal : std::error_code());
          if (refusal) {
            respond(Unexpected(*refusal));
            return;
          }
          const Duration delay =
              watch_delay_ +
              (fault == Fault::kSlowWatch ? kSlowWatchDelay : Duration(0));
          DoWatch(key, after, wait, delay, std::move(respond));
        },
        std::move(callback));
  };
  client.range = [this, carry, unavailable](
                     const std::string& prefix, Duration timeout,
                     StoreCallback<std::vector<StoreItem>> callback) {
    carry.operator()<std::vector<StoreItem>>(
        StoreCall::kRange, prefix, timeout, unavailable, std::move(callback),
        [this, prefix](Fault fault) {
          return DoRange(prefix, is_stale_ || fault == Fault::kStaleRead);
        });
  };
  client.grant_lease = [this, carry, unknown, name](
                           Duration ttl, Duration timeout,
                           StoreCallback<LeaseId> callback) {
    carry.operator()<LeaseId>(
        StoreCall::kGrantLease, "", timeout, unknown, std::move(callback),
        [this, name, ttl](Fault) { return DoGrant(name, ttl); });
  };
  client.renew_lease = [this, carry, unknown](const LeaseId& lease,
                                              Duration timeout,
                                              StoreCallback<LeaseId> callback) {
    carry.operator()<LeaseId>(StoreCall::kRenewLease, lease.value(), timeout,
                              unknown, std::move(callback),
                              [this, lease](Fault) { return DoRenew(lease); });
  };
  client.revoke_lease = [this, carry, unknown](
                            const LeaseId& lease, Duration timeout,
                            StoreCallback<LeaseId> callback) {
    carry.operator()<LeaseId>(StoreCall::kRevokeLease, lease.value(), timeout,
                              unknown, std::move(callback),
                              [this, lease](Fault) -> Result<LeaseId> {
                                EndLease(lease);
                                return lease;
                              });
  };
  return client;
}

void FakeStore::set_down(bool is_down) {
  is_down_ = is_down;
  if (!is_down) return;
  auto broken = std::move(waiters_);
  waiters_.clear();
  for (Waiter& it : broken) {
    world_.Cancel(it.timer);
    it.respond(Failed<StoreItem>(StoreError::kUnavailable));
  }
}

std::optional<std::error_code> FakeStore::Refusal() {
  if (is_down_) return make_error_code(StoreError::kUnavailable);
  if (rate_limit_ <= 0) return std::nullopt;
  // Token bucket with a burst of one second.
  tokens_ =
      std::min(rate_limit_,
               tokens_ + ToSeconds(world_.Now() - tokens_at_) * rate_limit_);
  tokens_at_ = world_.Now();
  if (tokens_ < 1) return make_error_code(StoreError::kRateLimited);
  tokens_ -= 1;
  return std::nullopt;
}

void FakeStore::Note(const std::string& process, StoreCall call,
                     const std::string& key, std::error_code outcome) {
  arrivals_.push_back({world_.Now(), process, call, key, outcome});
}

Version FakeStore::Apply(const std::string& process, const std::string& key,
                         std::string value, const LeaseId& lease,
                         bool is_erase) {
  Entry& entry = entries_[key];
  entry.has_stale = entry.exists;
  entry.stale_value = std::move(entry.value);
  entry.stale_version = entry.version;
  entry.version = entry.version.Next();
  entry.value = std::move(value);
  entry.lease = lease;
  entry.exists = !is_erase;
  writes_.push_back({world_.Now(), process, key, entry.value, entry.version,
                     lease, is_erase});
  if (is_erase) return entry.version;

  std::vector<Waiter> ready;
  for (auto it = waiters_.begin(); it != waiters_.end();) {
    if (it->key == key && entry.version > it->after) {
      ready.push_back(std::move(*it));
      it = waiters_.erase(it);
    } else {
      ++it;
    }
  }
  for (Waiter& it : ready) {
    world_.Cancel(it.timer);
    it.respond(StoreItem{key, entry.value, entry.version});
  }
  return entry.version;
}

Result<StoreItem> FakeStore::DoGet(const std::string& key,
                                   bool is_stale) const {
  const auto it = entries_.find(key);
  if (it == entries_.end()) return Failed<StoreItem>(StoreError::kNotFound);
  const Entry& entry = it->second;
  if (is_stale) {
    if (!entry.has_stale) return Failed<StoreItem>(StoreError::kNotFound);
    return StoreItem{key, entry.stale_value, entry.stale_version};
  }
  if (!entry.exists) return Failed<StoreItem>(StoreError::kNotFound);
  return StoreItem{key, entry.value, entry.version};
}

Result<Version> FakeStore::DoPut(const std::string& process,
                                 const std::string& key,
                                 const std::string& value, Version expect,
                                 const LeaseId& lease) {
  if (!lease.empty()) {
    const auto it = leases_.find(lease);
    if (it == leases_.end() || it->second.ended) {
      return Failed<Version>(StoreError::kLeaseLapsed);
    }
  }
  const auto it = entries_.find(key);
  const Version current = it != entries_.end() && it->second.exists
                              ? it->second.version
                              : Version();
  if (current != expect) return Failed<Version>(StoreError::kConflict);
  return Apply(process, key, value, lease, false);
}

Result<Version> FakeStore::DoErase(const std::string& process,
                                   const std::string& key, Version expect) {
  const auto it = entries_.find(key);
  if (it == entries_.end() || !it->second.exists) {
    return Failed<Version>(StoreError::kNotFound);
  }
  if (it->second.version != expect) {
    return Failed<Version>(StoreError::kConflict);
  }
  return Apply(process, key, "", LeaseId(), true);
}

void FakeStore::DoWatch(const std::string& key, Version after, Duration wait,
                        Duration delay,
                        std::function<void(Result<StoreItem>)> respond) {
  if (delay > Duration(0)) {
    respond = [this, delay,
               respond = std::move(respond)](const Result<StoreItem>& result) {
      world_.ScheduleAfter(delay, [respond, result] { respond(result); });
    };
  }
  const StoreItem item = Read(key);
  if (item.version > after) {
    respond(item);
    return;
  }
  waiters_.push_back({key, after, std::move(respond), 0});
  const auto it = std::prev(waiters_.end());
  it->timer = world_.ScheduleAfter(wait, [this, it, key] {
    auto waiting = std::move(it->respond);
    waiters_.erase(it);
    waiting(StoreItem{key, "", Version()});
  });
}

Result<std::vector<StoreItem>> FakeStore::DoRange(const std::string& prefix,
                                                  bool is_stale) const {
  std::vector<StoreItem> items;
  for (auto it = entries_.lower_bound(prefix);
       it != entries_.end() && it->first.starts_with(prefix); ++it) {
    const auto item = DoGet(it->first, is_stale);
    if (item) items.push_back(*item);
  }
  return items;
}

Result<LeaseId> FakeStore::DoGrant(const std::string& process, Duration ttl) {
  const LeaseId id("lease-" + std::to_string(next_lease_++));
  leases_[id] = {id,          process, ttl, world_.Now(), world_.Now() + ttl,
                 std::nullopt};
  ExpireAt(id);
  return id;
}

Result<LeaseId> FakeStore::DoRenew(const LeaseId& lease) {
  const auto it = leases_.find(lease);
  if (it == leases_.end() || it->second.ended) {
    return Failed<LeaseId>(StoreError::kLeaseLapsed);
  }
  it->second.expires = world_.Now() + it->second.ttl;
  ExpireAt(lease);
  return lease;
}

void FakeStore::ExpireAt(const LeaseId& lease) {
  world_.ScheduleAt(leases_.at(lease).expires, [this, lease] {
    const StoreLease& it = leases_.at(lease);
    // A renewal has scheduled its own timer.
    if (!it.ended && it.expires <= world_.Now()) EndLease(lease);
  });
}

void FakeStore::EndLease(const LeaseId& lease) {
  const auto it = leases_.find(lease);
  if (it == leases_.end() || it->second.ended) return;
  it->second.ended = world_.Now();
  std::vector<std::string> keys;
  for (const auto& [key, entry] : entries_) {
    if (entry.exists && entry.lease == lease) keys.push_back(key);
  }
  for (const std::string& key : keys) Apply("", key, "", LeaseId(), true);
}

Version FakeStore::Write(const std::string& key, std::string value) {
  return Apply("", key, std::move(value), LeaseId(), false);
}

StoreItem FakeStore::Read(const std::string& key) const {
  const auto it = entries_.find(key);
  if (it == entries_.end() || !it->second.exists) return {key, "", Version()};
  return {key, it->second.value, it->second.version};
}

std::vector<StoreWrite> FakeStore::WritesOf(const std::string& key) const {
  std::vector<StoreWrite> found;
  for (const StoreWrite& it : writes_) {
    if (it.key == key) found.push_back(it);
  }
  return found;
}

std::uint64_t FakeStore::CallsOf(StoreCall call) const {
  return static_cast<std::uint64_t>(std::count_if(
      arrivals_.begin(), arrivals_.end(),
      [call](const StoreArrival& it) { return it.call == call; }));
}

}  // namespace pomelomill::testing
