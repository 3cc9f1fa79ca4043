#pragma once

#include <cstddef>
#include <functional>
#include <string_view>

#include "pomelomill/base/time.h"

namespace pomelomill {

/// Called after each decision, such as a dispatch plan, with its name, the
/// number of items considered, and its duration.
using DecisionHook = std::function<void(std::string_view decision,
                                        std::size_t items, Duration took)>;

}  // namespace pomelomill
