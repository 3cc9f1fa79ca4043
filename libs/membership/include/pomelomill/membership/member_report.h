#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "pomelomill/base/ids.h"
#include "pomelomill/base/time.h"

namespace pomelomill {

/// StableHash of an incarnation id; stands for it in messages to keep them
/// short.
using IncarnationKey = StrongNumber<struct IncarnationKeyTag>;

IncarnationKey KeyOf(const IncarnationId& incarnation);

/// Who an entry is and where its peers reach it.
struct MemberInfo {
  EntryId entry;
  IncarnationId incarnation;
  RegionId region;
  /// "ip:port" of the entry's gRPC server.
  std::string address;
  /// Version of the entry's key in the store when it registered; 0 while it
  /// is not registered. A later registration of the same entry is higher.
  Version registration;

  bool operator==(const MemberInfo&) const = default;
};

/// How long the reporter has not heard from one member; no age when it never
/// has.
struct ContactReport {
  IncarnationKey member;
  std::optional<Duration> age;

  bool operator==(const ContactReport&) const = default;
};

/// Requests in flight from the reporter on one draining VM, and the version
/// of the region state that the reporter acts on for this VM.
struct VmInFlight {
  VmId vm;
  std::uint32_t in_flight = 0;
  Version version;

  bool operator==(const VmInFlight&) const = default;
};

/// What one entry says about itself in an exchange.
struct MemberReport {
  MemberInfo info;
  Revision config_revision;
  Version state_version;
  /// Time since the last successful renewal of its store lease; none when it
  /// holds no lease.
  std::optional<Duration> lease_age;
  std::vector<ContactReport> contacts;
  std::vector<VmInFlight> draining;
  /// Requests in flight on all endpoints.
  std::uint32_t in_flight = 0;
  /// Version of the region state whose slot shares the entry's use already
  /// fits in.
  Version shares_version;
  /// The entry is shutting down and accepts no new work.
  bool is_leaving = false;

  bool operator==(const MemberReport&) const = default;
};

}  // namespace pomelomill
