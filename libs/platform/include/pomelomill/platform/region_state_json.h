#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "pomelomill/base/result.h"
#include "pomelomill/platform/region_state.h"

namespace pomelomill {

/// Largest value that the store accepts.
constexpr std::size_t kMaxRegionStateBytes = std::size_t{1} << 20;

/// The compact JSON form of a region state. Names of pools, zones and racks
/// are listed once and VMs refer to them by index, since every write of the
/// state is sent to every entry of the region. Equal states have equal texts.
std::string ToJson(const RegionState& state);

/// The state of a text made by ToJson. kBadRegionState when the text is not
/// of that form, is larger than kMaxRegionStateBytes, names a VM twice, or
/// refers to something that it does not contain. Does not throw.
Result<RegionState> RegionStateFromJson(std::string_view text);

}  // namespace pomelomill
