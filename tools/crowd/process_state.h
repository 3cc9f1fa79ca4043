#pragma once

#include <sys/types.h>

#include <cstddef>

namespace pomelomill::crowd {

/// Peak resident memory of the process (VmHWM) in KB; 0 when it has ended.
std::size_t PeakMemoryKb(pid_t process);
/// Open descriptors of the process.
std::size_t OpenDescriptors(pid_t process);

}  // namespace pomelomill::crowd
