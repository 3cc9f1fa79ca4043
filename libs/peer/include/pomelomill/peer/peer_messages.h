#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "pomelomill/base/ids.h"
#include "pomelomill/base/time.h"
#include "pomelomill/membership/member_report.h"

namespace pomelomill {

/// Counts the loans of one lender.
using LoanId = StrongNumber<struct LoanIdTag>;

/// Load of one pool at the sender.
struct PoolLoadUpdate {
  PoolId pool;
  std::uint32_t queued = 0;
  std::uint32_t in_flight = 0;
  /// Slots of the entry's share that are free.
  std::uint32_t free_slots = 0;

  bool operator==(const PoolLoadUpdate&) const = default;
};

/// Demand of one queue at the sender, from which the control lease holder adds
/// up the demand of the region.
struct QueueLoad {
  QueueId queue;
  /// Requests a second, over minutes and over the last seconds.
  double mean_rate = 0;
  double current_rate = 0;
  /// Time that one request occupies a slot.
  Duration service_time{};
  /// Requests in the window of the budget, and those of them that missed.
  std::uint64_t asked = 0;
  std::uint64_t missed = 0;

  bool operator==(const QueueLoad&) const = default;
};

enum class EndpointCondition { kGood, kEjected, kDraining };

/// What one entry learnt about one endpoint.
struct EndpointUpdate {
  VmId vm;
  Generation generation;
  EndpointCondition condition = EndpointCondition::kGood;

  bool operator==(const EndpointUpdate&) const = default;
};

/// Slots that a lender does not use until they are returned or the loan has
/// certainly expired.
struct SlotLoan {
  LoanId loan;
  IncarnationId borrower;
  PoolId pool;
  std::uint32_t slots = 0;
  Duration remaining{};

  bool operator==(const SlotLoan&) const = default;
};

/// One direction of an exchange. `pools`, `queues`, `endpoints` and `members`
/// are the changes of the sender's lists after `base` and up to `sequence`;
/// `known` is the sequence of the receiver's lists that the sender has.
struct ExchangeMessage {
  MemberReport report;
  std::vector<PoolLoadUpdate> pools;
  std::vector<QueueLoad> queues;
  std::vector<EndpointUpdate> endpoints;
  std::vector<MemberInfo> members;
  std::uint64_t base = 0;
  std::uint64_t sequence = 0;
  std::uint64_t known = 0;
  std::vector<SlotLoan> loans;

  bool operator==(const ExchangeMessage&) const = default;
};

/// Asks for states newer than those that the sender has.
struct FetchStateRequest {
  RegionId region;
  Revision config_revision;
  Version state_version;

  bool operator==(const FetchStateRequest&) const = default;
};

/// Texts are empty when the peer has nothing newer.
struct FetchStateReply {
  Revision config_revision;
  std::string config_text;
  Version state_version;
  std::string state_text;

  bool operator==(const FetchStateReply&) const = default;
};

struct PeerHeader {
  std::string name;
  std::string value;

  bool operator==(const PeerHeader&) const = default;
};

/// A caller's request under a key that the receiver issued.
struct RunKeyedRequest {
  std::string key;
  std::string method;
  QueueId queue;
  std::string path;
  TeamId team;
  /// Time left.
  Duration deadline{};
  std::vector<PeerHeader> headers;
  std::string body;

  bool operator==(const RunKeyedRequest&) const = default;
};

enum class KeyedOutcome { kUnknown, kAnswered, kNotRun };

struct RunKeyedReply {
  KeyedOutcome outcome = KeyedOutcome::kUnknown;
  /// For kAnswered.
  int status = 0;
  std::vector<PeerHeader> headers;
  std::string body;
  /// For kNotRun.
  Duration retry_after{};

  bool operator==(const RunKeyedReply&) const = default;
};

struct LendSlotsRequest {
  IncarnationId borrower;
  PoolId pool;
  std::uint32_t slots = 0;
  Duration duration{};

  bool operator==(const LendSlotsRequest&) const = default;
};

/// `slots` may be fewer than asked for. The borrower counts `duration` from
/// the moment it sent the request, the lender adds the margin for clock drift.
struct LendSlotsReply {
  LoanId loan;
  std::uint32_t slots = 0;
  Duration duration{};

  bool operator==(const LendSlotsReply&) const = default;
};

struct ReturnSlotsRequest {
  IncarnationId borrower;
  LoanId loan;
  std::uint32_t slots = 0;

  bool operator==(const ReturnSlotsRequest&) const = default;
};

struct ReturnSlotsReply {
  /// Slots of the loan that are still lent.
  std::uint32_t remaining = 0;

  bool operator==(const ReturnSlotsReply&) const = default;
};

}  // namespace pomelomill
