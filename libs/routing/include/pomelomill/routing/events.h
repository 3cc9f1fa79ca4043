#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <variant>
#include <vector>

#include "pomelomill/base.h"
#include "pomelomill/config.h"
#include "pomelomill/platform.h"

namespace pomelomill {

/// Identifies a request; assigned by the traffic server and never reused within
/// an incarnation.
using RequestId = StrongNumber<struct RequestIdTag>;
/// Identifies one attempt to send a request to an endpoint; assigned by the
/// router.
using AttemptId = StrongNumber<struct AttemptIdTag>;

/// A request was received completely and may be queued.
struct RequestArrived {
  RequestId request;
  QueueId queue;
  /// Empty when the caller named no team.
  TeamId team;
  /// A later response counts as a miss.
  Instant deadline{};
  /// False when the request must not run more than once. A request is repeated
  /// only if its queue is declared repeatable, too.
  bool is_repeatable = true;
};

/// The caller closed its connection before the response.
struct RequestCancelled {
  RequestId request;
};

/// How an attempt ended.
enum class AttemptResult {
  /// A complete response with a status below 500.
  kAnswered,
  /// A complete 5xx response without the refusal header.
  kAnsweredWithError,
  /// Status 503 with the refusal header Pomelomill-Not-Processed: 1.
  kRefused,
  /// No complete response: the connection could not be opened or broke, the
  /// response was truncated or the attempt timed out.
  kFailed,
};

/// An attempt ended; reported exactly once per attempt.
struct AttemptFinished {
  AttemptId attempt;
  AttemptResult result = AttemptResult::kFailed;
  /// False only when it is certain that no byte of the request was sent.
  bool was_any_byte_sent = true;
};

/// Result of a ProbeEndpoint action (GET /healthz).
struct ProbeFinished {
  VmId vm;
  bool is_healthy = false;
  bool is_draining = false;
  Generation generation;
};

/// A region state was received. Versions below the current one are ignored.
struct RegionStateChanged {
  std::shared_ptr<const RegionState> state;
  Version version;
};

struct DeclarationsChanged {
  std::shared_ptr<const Declarations> declarations;
};

/// Load of one pool at one entry.
struct PoolLoad {
  std::uint32_t queued = 0;
  std::uint32_t in_flight = 0;
  std::uint32_t free_slots = 0;

  bool operator==(const PoolLoad&) const = default;
};

/// State of an entry's data plane that it reports to its peers.
struct LoadReport {
  EntryId entry;
  /// Version of the region state that the entry has applied.
  Version state_version;
  std::map<PoolId, PoolLoad> pools;
  /// Attempts in flight. Lists the VMs with attempts and those that are not in
  /// the active phase.
  std::map<VmId, std::uint32_t> in_flight;
  std::set<VmId> ejected;
  /// Draining endpoints with the generation of the VM that is draining.
  std::map<VmId, Generation> draining;
};

struct PeerLoadReceived {
  LoadReport report;
};

/// The platform or a peer reports that this generation of the VM is going out
/// of service.
struct EndpointLeaving {
  VmId vm;
  Generation generation;
};

/// Membership has set the time until which this entry may send requests to
/// endpoints. Nothing is sent at or after this time.
struct SendPermitChanged {
  Instant valid_until{};
};

/// A peer lends slots of an endpoint to this entry (`slots` > 0) or borrows
/// slots from it (`slots` < 0). The loan ends at `until`, or earlier with a
/// change of the same loan to 0 slots.
struct SlotLoanChanged {
  std::uint64_t loan = 0;
  VmId vm;
  std::int32_t slots = 0;
  Instant until{};
};

/// The time of the last WakeAt action has come. An early or extra tick is
/// harmless.
struct TimerTick {};

using RouterEvent =
    std::variant<RequestArrived, RequestCancelled, AttemptFinished,
                 ProbeFinished, RegionStateChanged, DeclarationsChanged,
                 PeerLoadReceived, EndpointLeaving, SendPermitChanged,
                 SlotLoanChanged, TimerTick>;

}  // namespace pomelomill
