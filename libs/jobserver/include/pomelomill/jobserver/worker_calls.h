#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "pomelomill/base/ids.h"
#include "pomelomill/base/result.h"
#include "pomelomill/base/time.h"
#include "pomelomill/dispatch/worker_report.h"

namespace pomelomill {

/// Rises with every owner of every pool: the store's version of the write by
/// which the owner acquired its pool.
using FencingToken = StrongNumber<struct FencingTokenTag>;

/// Where a call goes. Another worker at the address refuses the call.
struct WorkerAddress {
  WorkerId id;
  /// "HOST:PORT".
  std::string address;

  bool operator==(const WorkerAddress&) const = default;
};

struct StartRequest {
  TaskKey key;
  std::uint32_t run = 0;
  const std::string* payload = nullptr;
  std::string saved;
  FencingToken token;
  /// On the worker's clock; the lease of all its tasks is extended to it.
  std::int64_t deadline_ms = 0;
};

struct StartResponse {
  StartOutcome outcome = StartOutcome::kUnknown;
  /// The worker's clock; 0 when unknown.
  std::int64_t clock_ms = 0;
};

struct RenewRequest {
  FencingToken token;
  /// On the worker's clock; nothing when it is not known yet.
  std::optional<std::int64_t> deadline_ms;
  /// Ends up to this number are forgotten by the worker.
  std::uint64_t acknowledged_up_to = 0;
  /// Longest wait for an end that is not acknowledged.
  Duration max_wait{};
};

enum class WorkerError {
  /// Nothing listens at the address: the worker's process has ended.
  kConnectionRefused = 1,
  kNoResponse,
  kFenced,
  /// Another worker, or another life of it, is at the address.
  kOtherIncarnation,
  kMalformedResponse,
  /// No connection, without an answer of the worker's machine.
  kUnreachable,
  /// This process could not open a connection. Says nothing about the worker.
  kNotSent,
};

const std::error_category& WorkerCategory();

inline std::error_code make_error_code(WorkerError e) {
  return {static_cast<int>(e), WorkerCategory()};
}

/// Calls on one worker. Each runs its callback exactly once, later.
struct WorkerCalls {
  std::function<void(const WorkerAddress&, StartRequest,
                     std::function<void(StartResponse)>)>
      start;
  /// The worker's clock when the stop was accepted.
  std::function<void(const WorkerAddress&, const TaskKey&, std::uint32_t run,
                     FencingToken, std::function<void(Result<std::int64_t>)>)>
      stop;
  /// Extends the lease, acknowledges ends and returns both lists.
  std::function<void(const WorkerAddress&, RenewRequest,
                     std::function<void(Result<WorkerReport>)>)>
      renew;
};

}  // namespace pomelomill

template <>
struct std::is_error_code_enum<pomelomill::WorkerError> : std::true_type {};
