#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "pomelomill/base.h"
#include "pomelomill/routing/key_issuer.h"
#include "pomelomill/store.h"

namespace pomelomill {

struct KeyClaimsOptions {
  IncarnationId incarnation;
  /// A claim is kept for at least half of this time.
  Duration lease_duration = std::chrono::hours(2);
  /// Deadline of one store call.
  Duration call_timeout = std::chrono::milliseconds(500);
  /// Claims that are being made at once; bounds memory and the load on the
  /// store.
  std::size_t max_pending = 256;
};

/// Result of a claim.
enum class ClaimState {
  /// This entry owns the key: send the request, then call Finish().
  kMayRun,
  /// The key was accepted before; see the outcome if there is one.
  kAlreadyClaimed,
  /// The claim could not be made; the request is not run.
  kUnavailable,
};

struct ClaimResult {
  ClaimState state = ClaimState::kUnavailable;
  /// For kTaken, when the first request has ended and said how.
  std::optional<KeyOutcome> outcome;
};

/// At-most-once keys that callers choose. A key is claimed by creating
/// `claims/KEY` in the store before the first byte is sent. Use from one
/// thread, the one on which the store's callbacks run.
class KeyClaims {
 public:
  KeyClaims(StoreClient& store, TimerService& timers, KeyClaimsOptions options);
  ~KeyClaims();

  /// The callback runs exactly once, possibly at once.
  void Claim(const std::string& key, std::function<void(ClaimResult)> callback);

  /// Ends a request whose claim was kMayRun. A request that was not run
  /// releases the key; other outcomes are noted in the claim. Both are tried
  /// once: if the store does not take it, the key stays taken without an
  /// outcome.
  void Finish(const std::string& key, KeyOutcome outcome);

  /// Claims whose request has not ended.
  std::size_t open_claims() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace pomelomill
