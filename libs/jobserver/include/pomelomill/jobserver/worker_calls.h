#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "pomelomill/base/ids.h"
#include "pomelomill/base/result.h"
#include "pomelomill/base/time.h"
#include "pomelomill/dispatch/worker_report.h"

namespace pomelomill {

/// Fencing token of a pool's owner: the store's version of the write by which
/// the owner acquired the pool. Each later owner of any pool has a higher
/// token.
using FencingToken = StrongNumber<struct FencingTokenTag>;

/// Destination of a call. A different worker at the address rejects the call.
struct WorkerAddress {
  WorkerId id;
  /// "HOST:PORT".
  std::string address;

  bool operator==(const WorkerAddress&) const = default;
};

/// Starts one run of a task.
struct StartRequest {
  TaskKey key;
  std::uint32_t run = 0;
  /// The task's payload.
  std::shared_ptr<const std::string> payload;
  /// Latest checkpoint of the task; empty when there is none.
  std::string saved;
  FencingToken token;
  /// Time on the worker's clock until which the lease of all its tasks is
  /// extended.
  std::int64_t deadline_ms = 0;
};

struct StartResponse {
  StartOutcome outcome = StartOutcome::kUnknown;
  /// The worker's clock when it handled the request; 0 when unknown.
  std::int64_t clock_ms = 0;
  /// With kUnknown: the connection ended without an answer, and another one can
  /// be opened at once.
  bool has_connection_ended = false;
};

/// Renews the lease of a worker's tasks and polls for its report.
struct RenewRequest {
  FencingToken token;
  /// Time on the worker's clock until which the lease is extended; empty to
  /// leave the lease as it is.
  std::optional<std::int64_t> deadline_ms;
  /// The worker deletes its ended tasks up to this number (EndedTask::number).
  std::uint64_t acknowledged_up_to = 0;
  /// Longest time for which the worker may delay the response until it has an
  /// ended task that is not acknowledged (long polling).
  Duration max_wait{};
  /// The connections to the worker may belong to a former incarnation and have
  /// gone silent: the call is sent on a new one.
  bool needs_new_connection = false;
};

/// Reasons for which a call on a worker, or on the platform's VMs, failed.
enum class WorkerError {
  /// The connection was refused: the worker's process has ended, or a partition
  /// refuses connections to it.
  kConnectionRefused = 1,
  /// The call timed out; it may have taken effect.
  kNoResponse,
  /// The receiver has seen a higher fencing token.
  kFenced,
  /// Another worker, or another incarnation of the worker, is at the address.
  kOtherIncarnation,
  kMalformedResponse,
  /// No connection could be established, and the worker's machine did not
  /// refuse it.
  kUnreachable,
  /// As kConnectionRefused, after the worker's machine closed a connection in
  /// an orderly way: its process has ended.
  kProcessEnded,
  /// This process could not open a connection, for example for lack of file
  /// descriptors. Says nothing about the worker.
  kNotSent,
  /// The connection ended before the response; the call may have taken effect.
  kConnectionEnded,
};

/// Category of the error codes made from WorkerError.
const std::error_category& WorkerCategory();

inline std::error_code make_error_code(WorkerError e) {
  return {static_cast<int>(e), WorkerCategory()};
}

/// Whether the call was sent and its outcome is unknown.
inline bool IsOutcomeUnknown(std::error_code ec) {
  return ec == make_error_code(WorkerError::kNoResponse) ||
         ec == make_error_code(WorkerError::kConnectionEnded);
}

/// Calls on a worker. Each call runs its callback exactly once, after the call
/// has returned.
struct WorkerCalls {
  /// StartOutcome::kUnknown when the run may still be started.
  std::function<void(const WorkerAddress&, StartRequest,
                     std::function<void(StartResponse)>)>
      start;
  /// Stops one run of a task. Yields the worker's clock in milliseconds when
  /// the worker accepted the stop, or a WorkerError.
  std::function<void(const WorkerAddress&, const TaskKey&, std::uint32_t run,
                     FencingToken, std::function<void(Result<std::int64_t>)>)>
      stop;
  /// Extends the lease and acknowledges ended tasks. Yields the worker's
  /// running and ended tasks, or a WorkerError.
  std::function<void(const WorkerAddress&, RenewRequest,
                     std::function<void(Result<WorkerReport>)>)>
      renew;
};

}  // namespace pomelomill

template <>
struct std::is_error_code_enum<pomelomill::WorkerError> : std::true_type {};
