#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>

#include "pomelomill/store/store_client.h"

namespace pomelomill {

enum class StoreCallKind {
  kGet,
  kPut,
  kErase,
  kWatch,
  kRange,
  kGrantLease,
  kRenewLease,
  kRevokeLease,
};

inline constexpr std::size_t kStoreCallKinds = 8;

/// Calls of one kind by result.
struct CallCount {
  std::uint64_t started = 0;
  std::uint64_t succeeded = 0;
  /// kConflict, kNotFound and kLeaseLapsed: the store answered.
  std::uint64_t refused = 0;
  std::uint64_t unavailable = 0;
  std::uint64_t rate_limited = 0;
  std::uint64_t unknown = 0;
};

/// Calls of one process. A waiting watch counts as one call.
class CallCounter {
 public:
  const CallCount& count(StoreCallKind call) const {
    return counts_[static_cast<std::size_t>(call)];
  }
  CallCount& count(StoreCallKind call) {
    return counts_[static_cast<std::size_t>(call)];
  }
  /// Calls of all kinds started so far.
  std::uint64_t started() const;

 private:
  std::array<CallCount, kStoreCallKinds> counts_{};
};

/// A client that counts the calls that reach `inner`.
StoreClient WithCounter(StoreClient inner,
                        std::shared_ptr<CallCounter> counter);

}  // namespace pomelomill
