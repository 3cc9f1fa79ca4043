#pragma once

#include <cstdint>
#include <map>

#include "pomelomill/config/declarations.h"
#include "pomelomill/maintenance/wave_types.h"

namespace pomelomill {

/// The permitted time window of each declared wave, relative to now.
/// `local_time_s` is the local time in seconds since the Unix epoch. A window
/// that ends at an earlier time of day than it starts crosses midnight.
std::map<WaveId, WaveWindow> WaveWindows(const Declarations& declarations,
                                         std::int64_t local_time_s);

}  // namespace pomelomill
