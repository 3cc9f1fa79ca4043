#pragma once

#include <string_view>
#include <utility>
#include <vector>

#include "pomelomill/config/declarations.h"

namespace pomelomill {

/// The names that files use for the values of an enumeration.
template <typename Enum>
using Choices = std::vector<std::pair<std::string_view, Enum>>;

inline const Choices<Urgency>& UrgencyChoices() {
  static const Choices<Urgency> choices = {
      {"interactive", Urgency::kInteractive},
      {"normal", Urgency::kNormal},
      {"batch", Urgency::kBatch}};
  return choices;
}

inline const Choices<MaintenanceAction>& ActionChoices() {
  static const Choices<MaintenanceAction> choices = {
      {"reboot", MaintenanceAction::kReboot},
      {"stop", MaintenanceAction::kStop}};
  return choices;
}

/// The name of one value.
template <typename Enum>
std::string_view ChoiceName(const Choices<Enum>& choices, Enum value) {
  for (const auto& [name, it] : choices) {
    if (it == value) return name;
  }
  return "";
}

}  // namespace pomelomill
