#pragma once

#include <functional>
#include <string>
#include <vector>

#include "pomelomill/base/ids.h"
#include "pomelomill/base/result.h"
#include "pomelomill/base/time.h"

namespace pomelomill {

/// One key with its value. `version` 0 means that the key does not exist.
struct StoreItem {
  std::string key;
  std::string value;
  Version version;
};

template <typename T>
using StoreCallback = std::function<void(Result<T>)>;

/// Calls on the key-value service. Each call runs its callback exactly once,
/// later, on the caller's thread, and ends with kOutcomeUnknown (writes) or
/// kUnavailable (reads) when `timeout` passes. The HTTP client, the in-memory
/// fake and wrappers (circuit breaker, call counter) all fill these hooks.
struct StoreClient {
  /// The item, or kNotFound.
  std::function<void(std::string key, Duration timeout,
                     StoreCallback<StoreItem>)>
      get;
  /// Writes when the key's version is `expect` (0: the key must not exist)
  /// and returns the new version, or kConflict. A non-empty lease deletes the
  /// key when it lapses; kLeaseLapsed when it has.
  std::function<void(std::string key, std::string value, Version expect,
                     LeaseId lease, Duration timeout, StoreCallback<Version>)>
      put;
  std::function<void(std::string key, Version expect, Duration timeout,
                     StoreCallback<Version>)>
      erase;
  /// The item as soon as its version exceeds `after`; version 0 after `wait`
  /// without a change.
  std::function<void(std::string key, Version after, Duration wait,
                     StoreCallback<StoreItem>)>
      watch;
  std::function<void(std::string prefix, Duration timeout,
                     StoreCallback<std::vector<StoreItem>>)>
      range;
  std::function<void(Duration ttl, Duration timeout, StoreCallback<LeaseId>)>
      grant_lease;
  /// kLeaseLapsed when the lease no longer exists.
  std::function<void(LeaseId lease, Duration timeout, StoreCallback<LeaseId>)>
      renew_lease;
  std::function<void(LeaseId lease, Duration timeout, StoreCallback<LeaseId>)>
      revoke_lease;
};

}  // namespace pomelomill
