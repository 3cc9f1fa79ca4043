#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "pomelomill/base/ids.h"
#include "pomelomill/base/time.h"
#include "pomelomill/store/store_client.h"

namespace pomelomill {

/// One key of a store whose versions come from a single counter, which each
/// change raises.
struct StoredKey {
  std::string key;
  std::string value;
  /// Of the last change; 0 when the key does not exist.
  Version version;
  /// Of the write that created the key.
  Version created;
  bool is_removed = false;
};

struct PrefixRead {
  std::vector<StoredKey> items;
  /// All changes up to this version are covered.
  Version version;
};

/// Takes effect as a whole, or not at all.
struct Transaction {
  struct Expectation {
    std::string key;
    /// 0: the key must not exist.
    Version version;
  };
  struct Write {
    std::string key;
    std::string value;
    /// Removes the key when it ends; empty for none.
    LeaseId lease;
  };

  std::vector<Expectation> expectations;
  std::vector<Write> writes;
  std::vector<std::string> removals;

  std::size_t size() const {
    return expectations.size() + writes.size() + removals.size();
  }
};

/// Most entries of one transaction: the limit of the users' store.
inline constexpr std::size_t kMaxTransactionEntries = 32;

struct CommitResult {
  bool is_committed = false;
  /// Of the change, when committed.
  Version version;
  /// The expected keys as they are, when not committed.
  std::vector<StoredKey> current;
};

/// Calls of a key-value service with transactions and prefix watches. Each
/// call runs its callback exactly once, later, on the caller's thread.
struct TransactionClient {
  /// kNotFound when the key does not exist. Linearizable.
  std::function<void(std::string key, Duration timeout,
                     StoreCallback<StoredKey>)>
      read;
  /// All keys with the prefix. The version is that before the first page.
  std::function<void(std::string prefix, Duration timeout,
                     StoreCallback<PrefixRead>)>
      read_prefix;
  /// Changes after `after` as soon as there are any; none after `wait`.
  /// kHistoryLost when the service no longer has them.
  std::function<void(std::string prefix, Version after, Duration wait,
                     StoreCallback<PrefixRead>)>
      watch_prefix;
  /// kUnavailable and kRateLimited had no effect; after kOutcomeUnknown the
  /// transaction may have taken effect or may still do so while its
  /// expectations hold. kLeaseLapsed when a lease does not exist.
  std::function<void(Transaction transaction, Duration timeout,
                     StoreCallback<CommitResult>)>
      commit;
};

}  // namespace pomelomill
