#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "pomelomill/base/result.h"
#include "pomelomill/config/declarations.h"

namespace pomelomill::measure {

/// One scenario file. Times are seconds from the start; negative means never.
struct Scenario {
  std::string name;
  std::string deployment;
  double duration_s = 3600;
  double peak_factor = 5;
  double peak_duration_s = 8;
  /// From one queue's peak to the next queue's.
  double peak_spacing_s = 25;
  double trough_factor = 0.05;
  double wave_at_s = -1;
  double rack_lost_at_s = -1;
  double rack_lost_for_s = 600;
  double zone_lost_at_s = -1;
  double zone_lost_for_s = 600;
  /// Entries that share the slots of every VM.
  double entries = 9;
  double store_down_at_s = -1;
  double store_down_for_s = 300;
  Declarations declarations;
};

/// Reads a scenario and the deployment that it names, relative to its folder.
Result<Scenario> ReadScenario(const std::string& path);

/// One request of the workload.
struct Request {
  double at = 0;
  double service = 0;
  int queue = 0;
};

/// Arrivals of all queues in the order of time: Poisson with exponential
/// service times; the queues peak in turn and fall to `trough_factor` after
/// the peak until their mean rate is reached again.
std::vector<Request> MakeWorkload(const Scenario& scenario, std::uint64_t seed);

/// Time between two peaks of one queue, in seconds.
double PeakInterval(const Scenario& scenario);

}  // namespace pomelomill::measure
