#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "pomelomill/jobserver/worker_calls.h"
#include "pomelomill/store/transaction_client.h"
#include "store_keys.h"

namespace pomelomill {

/// Returns the condition that the pool has the owner with this token.
inline Transaction::Expectation OwnerExpectation(const PoolId& pool,
                                                 FencingToken token) {
  return {OwnerKey(pool), Version(token.value())};
}

/// Whether the pool still has that owner; `current` are the expected keys of a
/// transaction that was not committed.
inline bool IsStillOwned(const std::vector<StoredKey>& current,
                         const PoolId& pool, FencingToken token) {
  const std::string owner_key = OwnerKey(pool);
  return std::any_of(current.begin(), current.end(), [&](const auto& it) {
    return it.key == owner_key && it.version.value() == token.value();
  });
}

}  // namespace pomelomill
