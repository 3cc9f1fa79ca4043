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

/// One accepted request; given out by the caller side, never reused within an
/// incarnation.
using RequestId = StrongNumber<struct RequestIdTag>;
/// One sending of a request to an endpoint; given out by the router.
using AttemptId = StrongNumber<struct AttemptIdTag>;

/// A request was read completely and may be queued.
struct RequestArrived {
  RequestId request;
  QueueId queue;
  /// Empty when the caller named no team.
  TeamId team;
  /// End of the time within which a response counts.
  Instant deadline{};
  /// True when the request may run more than once. It also needs the queue to
  /// be declared repeatable.
  bool is_repeatable = true;
};

/// The caller closed its connection or gave up.
struct RequestCancelled {
  RequestId request;
};

enum class AttemptResult {
  /// A complete response, no 5xx.
  kAnswered,
  /// A complete 5xx response without the refusal header.
  kAnsweredWithError,
  /// Refused with Pomelomill-Not-Processed: 1.
  kRefused,
  /// No complete response: connecting failed, the connection broke, the
  /// response was truncated or the time was up.
  kFailed,
};

/// An attempt ended. Each attempt ends exactly once.
struct AttemptFinished {
  AttemptId attempt;
  AttemptResult result = AttemptResult::kFailed;
  /// False only when it is certain that no byte of the request was sent.
  bool was_any_byte_sent = true;
};

/// Response to a ProbeEndpoint action (GET /healthz).
struct ProbeFinished {
  VmId vm;
  bool is_healthy = false;
  bool is_draining = false;
  Generation generation;
};

/// A newer region state. Versions below the current one are ignored.
struct RegionStateChanged {
  std::shared_ptr<const RegionState> state;
  Version version;
};

struct DeclarationsChanged {
  std::shared_ptr<const Declarations> declarations;
};

/// Load of one pool as one entry sees it.
struct PoolLoad {
  std::uint32_t queued = 0;
  std::uint32_t in_flight = 0;
  std::uint32_t free_slots = 0;

  bool operator==(const PoolLoad&) const = default;
};

/// What one entry tells its peers about its data plane.
struct LoadReport {
  EntryId entry;
  /// Region state version that the entry acts on.
  Version state_version;
  std::map<PoolId, PoolLoad> pools;
  /// Attempts in flight, for VMs that have any or that are not active.
  std::map<VmId, std::uint32_t> in_flight;
  std::set<VmId> ejected;
  /// Endpoints that refused as draining, with the generation that did so.
  std::map<VmId, Generation> draining;
};

struct PeerLoadReceived {
  LoadReport report;
};

/// The platform or a peer says that this start of the VM is leaving.
struct EndpointLeaving {
  VmId vm;
  Generation generation;
};

/// Until when this entry may send work (membership decides). Nothing is sent
/// at or after this moment.
struct SendPermitChanged {
  Instant valid_until{};
};

/// Slots of one endpoint that a peer lends to this entry (`slots` > 0) or
/// that this entry lends (`slots` < 0), until `until` or until a change with
/// the same loan and 0 slots.
struct SlotLoanChanged {
  std::uint64_t loan = 0;
  VmId vm;
  std::int32_t slots = 0;
  Instant until{};
};

/// The wake-up that WakeAt asked for, or any other moment.
struct TimerTick {};

using RouterEvent =
    std::variant<RequestArrived, RequestCancelled, AttemptFinished,
                 ProbeFinished, RegionStateChanged, DeclarationsChanged,
                 PeerLoadReceived, EndpointLeaving, SendPermitChanged,
                 SlotLoanChanged, TimerTick>;

}  // namespace pomelomill
