#pragma once

#include <string>

namespace review {

struct WorkerOptions {
  std::string id;
  std::string address;
  std::string service;
  std::string rack;
  /// Where the worker registers.
  std::string operator_address;
  /// Takes a line for each start and each end of a run.
  std::string record;
};

/// Runs one runner until the process ends. The payload of a task is
/// "ms=N[;fails=RACK]": it runs for N ms, and fails if the runner is on that
/// rack. A task with any other payload runs until it is stopped.
///   POST /grey?job=J&ms=N   the runner fails part of its requests: it carries
///     out the next start of job J and resets the connection instead of an
///     answer; then it rejects starts for N ms
int RunWorker(const WorkerOptions& options);

}  // namespace review
