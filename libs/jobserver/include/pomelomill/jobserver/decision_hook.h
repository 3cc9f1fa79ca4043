#pragma once

#include <cstddef>
#include <functional>
#include <string_view>

#include "pomelomill/base/time.h"

namespace pomelomill {

/// Told of each decision: its name, the number of items that it chose among,
/// and the time that it took.
using DecisionHook = std::function<void(std::string_view decision,
                                        std::size_t items, Duration took)>;

}  // namespace pomelomill
