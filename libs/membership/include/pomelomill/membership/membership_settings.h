#pragma once

#include <cstddef>

#include "pomelomill/base/time.h"

namespace pomelomill {

/// Times and limits of membership. All entries of a region use the same
/// values: fencing compares times that different entries have measured.
struct MembershipSettings {
  Duration exchange_interval = std::chrono::milliseconds(500);
  std::size_t partners_per_round = 4;
  /// Entries of one region that exchange with each entry of another region.
  std::size_t links_per_region_pair = 2;
  /// Two entries of a region of 9 exchange about twice per interval, so this
  /// is at least five missed exchanges.
  Duration suspect_after = std::chrono::milliseconds(2500);
  /// How long an answered exchange supports the send permit, and how long a
  /// member must have had no contact before it reports so for fencing.
  Duration contact_window = std::chrono::seconds(10);
  Duration lease_ttl = std::chrono::seconds(10);
  /// Largest relative difference between the rates of two clocks. Quartz
  /// clocks stay within 0.0002 and a clock being slewed within 0.0005; the
  /// rest is reserve.
  double clock_drift = 0.005;
  std::size_t max_members = 256;
  std::size_t max_dead_incarnations = 4096;

  /// How long to wait here until `d` has certainly passed on another clock:
  /// d * (1 + drift) / (1 - drift), which is below d * (1 + 3 * drift).
  Duration Stretched(Duration d) const {
    return d + std::chrono::duration_cast<Duration>(d * (3 * clock_drift));
  }
};

}  // namespace pomelomill
