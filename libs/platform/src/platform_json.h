#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "pomelomill/base/result.h"
#include "pomelomill/platform/platform_client.h"

// Bodies of the platform protocol. The parsers return kBadResponse for
// anything that is not of the documented form and do not throw.

namespace pomelomill {

Result<std::vector<VmRecord>> ParseVmList(std::string_view body);
Result<VmStatus> ParseVmStatus(std::string_view body);
Result<std::vector<WorkerRecord>> ParseWorkerList(std::string_view body);
std::string TaskStartBody(const TaskStart& task);

}  // namespace pomelomill
