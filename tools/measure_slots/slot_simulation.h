#pragma once

#include <cstdint>
#include <vector>

#include "pomelomill/routing.h"

namespace pomelomill::measure {

/// The slot options of section 9 of the design page.
enum class SlotOption {
  /// (a) Power of two choices on the load that peers report.
  kPeerReports,
  /// (b) Shares, without and with borrowing.
  kShare,
  kShareWithLoans,
  /// (c) One entry grants all slots of the pool; requests reach it over one
  /// hop.
  kOneGranter,
};

struct SlotSetting {
  SlotOption option = SlotOption::kShare;
  /// Demand at a peak as a share of the pool's capacity.
  double peak_load = 1.0;
  std::uint64_t seed = 1;
};

struct SlotResult {
  std::uint64_t asked = 0;
  std::uint64_t answered_in_time = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  /// Attempts that an endpoint refused because its slots were in use.
  std::uint64_t refusals = 0;
  std::uint64_t sends = 0;
  /// From arrival to the start of service, of answered requests.
  std::vector<Duration> waits;
};

/// Eight entries, one pool of nine VMs with eight slots, five queues with
/// five-fold peaks in turn, 60 s of virtual time.
SlotResult Simulate(const SlotSetting& setting);

}  // namespace pomelomill::measure
