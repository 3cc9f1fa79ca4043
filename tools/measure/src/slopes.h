#pragma once

namespace pomelomill::measure {

/// Prints time and memory of one decision of planner and wave scheduler at
/// several sizes, with a linear fit and its largest relative error.
void PrintSlopes();

}  // namespace pomelomill::measure
