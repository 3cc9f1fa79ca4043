#pragma once

#include <cstdint>
#include <map>

#include "pomelomill/config/declarations.h"
#include "pomelomill/maintenance/wave_types.h"

namespace pomelomill {

/// The permitted time of each declared wave relative to now, from the local
/// time of day. A window whose end lies before its start crosses midnight.
std::map<WaveId, WaveWindow> WaveWindows(const Declarations& declarations,
                                         std::int64_t local_time_s);

}  // namespace pomelomill
