#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "pomelomill/base/timer_service.h"
#include "pomelomill/store/store_client.h"

namespace pomelomill {

/// Marks one write: the writer's id, unique to one run of one process, and a
/// sequence number that the writer uses for one write only. Every value that
/// is written by compare-and-swap carries its mark.
struct WriteMark {
  std::string writer;
  std::uint64_t sequence = 0;

  bool operator==(const WriteMark&) const = default;
};

/// The mark that a value carries; nothing when the value has none.
using MarkReader = std::function<std::optional<WriteMark>(const std::string&)>;

/// One write by compare-and-swap.
struct CasWrite {
  std::string key;
  /// Carries `mark`.
  std::string value;
  WriteMark mark;
  /// Version that is replaced; 0 creates the key.
  Version expect;
  /// Empty for a key that outlives its writer.
  LeaseId lease;
};

struct CasWriterOptions {
  /// Of one call.
  Duration call_timeout = std::chrono::seconds(1);
  /// Of the whole write, repeats included.
  Duration timeout = std::chrono::seconds(10);
  /// Puts of one write.
  std::uint32_t max_puts = 4;
  /// Pause before a repeated call; doubles up to the longest pause.
  Duration first_pause = std::chrono::milliseconds(50);
  Duration longest_pause = std::chrono::seconds(1);
};

/// Writes one value at a time and resolves lost responses: after a put of
/// unknown outcome it reads the key back, looks for its own mark, and repeats
/// the put only when the key still has the expected version. A repeat is safe,
/// since the store accepts at most one put for each expected version.
///
/// Ends with the new version, or with
/// - kConflict: another writer replaced the expected version; this write has
///   not taken effect and never will,
/// - kUnavailable, kRateLimited, kLeaseLapsed, kBadResponse: as reported for
///   the first put, which had no effect,
/// - kOutcomeUnknown: the bound was reached, or later writes cover the trace.
class CasWriter {
 public:
  CasWriter(const StoreClient& client, TimerService& timers, MarkReader reader,
            const CasWriterOptions& options = {});
  /// Drops the write in progress without running its callback.
  ~CasWriter();
  CasWriter(const CasWriter&) = delete;
  CasWriter& operator=(const CasWriter&) = delete;

  /// Starts a write; `done` runs once, later. Requires !is_busy().
  void Write(CasWrite write, StoreCallback<Version> done);

  bool is_busy() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace pomelomill
