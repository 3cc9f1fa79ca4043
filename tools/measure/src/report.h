#pragma once

#include <cstdint>
#include <string>

namespace pomelomill::measure {

void PrintHeader();

/// Runs one scenario with the product and every baseline and prints one CSV
/// line for each measure; false when the scenario cannot be read.
bool MeasureScenario(const std::string& path, std::uint64_t seed);

/// Prints every decision of the product in one scenario, one line each; false
/// when the scenario cannot be read.
bool TraceScenario(const std::string& path, std::uint64_t seed);

}  // namespace pomelomill::measure
