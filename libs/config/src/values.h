#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "pomelomill/base/time.h"

namespace pomelomill {

/// Digits with one unit: ms, s, m, h, d or w ("250ms", "6w").
std::optional<Duration> ReadDuration(std::string_view text);

/// The duration in the largest unit that divides it; whole milliseconds.
std::string DurationText(Duration duration);

/// A finite decimal number.
std::optional<double> ReadNumber(std::string_view text);

/// The shortest text that ReadNumber turns into the same number.
std::string NumberText(double number);

/// Minutes after midnight from "HH:MM".
std::optional<std::uint32_t> ReadTimeOfDay(std::string_view text);

std::string TimeOfDayText(std::uint32_t minute);

/// Lower-case letters, digits, '.', '_' and '-', starting with a letter or
/// digit, at most 63 bytes. Safe in paths, keys of the store and INI files.
bool IsName(std::string_view text);

/// "HOST:PORT" with a port of 1 to 65535.
bool IsAddress(std::string_view text);

}  // namespace pomelomill
