#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "pomelomill/base.h"
#include "pomelomill/routing/actions.h"

namespace pomelomill {

/// How a request with a key ended.
struct KeyOutcome {
  Outcome outcome = Outcome::kUnknown;
  /// HTTP status that the caller received.
  int status = 0;

  bool operator==(const KeyOutcome&) const = default;
};

enum class KeyState {
  /// The request may run now; report its end by Finish().
  kMayRun,
  /// A request with this key is in progress.
  kRunning,
  /// A request with this key has ended; its outcome is known.
  kDone,
  /// The key was issued, but whether it ran is not remembered. It never runs
  /// any more.
  kExpired,
  /// Not issued by this incarnation.
  kNotIssuedHere,
  /// Too many keyed requests are in progress.
  kTooManyRunning,
};

struct KeyDecision {
  KeyState state = KeyState::kNotIssuedHere;
  /// For kDone.
  KeyOutcome outcome;
};

struct KeyIssuerOptions {
  /// Outcomes that are remembered.
  std::size_t max_records = 100'000;
  /// An outcome is remembered for this time.
  Duration record_ttl = std::chrono::minutes(15);
};

/// Issues at-most-once keys and runs each at most once. A key contains the
/// incarnation, so that no other run of the process ever accepts it: "issued"
/// means that the counter in the key is below the next one, which needs no
/// memory per key and no store.
class KeyIssuer {
 public:
  explicit KeyIssuer(IncarnationId incarnation, KeyIssuerOptions options = {});

  std::vector<std::string> Issue(std::size_t count);

  /// Asks to run a request with this key.
  KeyDecision Begin(std::string_view key, Instant now);

  /// Ends a request that Begin() allowed. A request that was not run releases
  /// its key, which may then run again.
  void Finish(std::string_view key, KeyOutcome outcome, Instant now);

  std::size_t records() const { return records_.size(); }

  /// The incarnation in an issued key; none for other keys.
  static std::optional<IncarnationId> IncarnationOf(std::string_view key);

 private:
  struct Record {
    bool is_running = true;
    KeyOutcome outcome;
  };

  std::optional<std::uint64_t> CounterOf(std::string_view key) const;
  void EvictRecords(Instant now);

  IncarnationId incarnation_;
  KeyIssuerOptions options_;
  std::uint64_t next_counter_ = 1;
  /// Keys below this that have no record never run any more.
  std::uint64_t min_unexpired_counter_ = 1;
  std::map<std::uint64_t, Record> records_;
  /// Ended requests by the time of their end.
  std::set<std::pair<Instant, std::uint64_t>> ended_;
};

}  // namespace pomelomill
