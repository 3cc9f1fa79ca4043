#pragma once

#include <cstdint>
#include <string>

#include "pomelomill/base/time.h"

namespace pomelomill {

/// Address of a stand-in worker on loopback. Each has an address of its own, as
/// the owner keeps connections for each worker.
std::string WorkerAddressText(std::uint32_t worker, std::uint16_t port);

/// Serves `workers` stand-in workers until the process is ended: each starts
/// every run at once and ends it as done after `run_time`.
void ServeWorkers(std::uint32_t workers, std::uint16_t port, Duration run_time);

}  // namespace pomelomill
