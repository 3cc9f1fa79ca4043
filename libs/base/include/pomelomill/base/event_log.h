#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace pomelomill {

/// One value of an event; the name is the same wherever the value occurs.
struct EventField {
  std::string_view name;
  std::string value;
};

/// Takes one event of a part of the program, such as ("store", "lost", ...).
/// Must not block.
using EventHook = std::function<void(
    std::string_view part, std::string_view event, std::vector<EventField>)>;

}  // namespace pomelomill
