#pragma once

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

#include "pomelomill/base/event_log.h"
#include "pomelomill/base/time.h"
#include "pomelomill/base/timer_service.h"

namespace pomelomill {

struct EventOutputOptions {
  int file_descriptor = 1;
  /// Lines above this rate are dropped and counted. A busy pool owner writes
  /// about 600 lines per second of about 150 bytes each.
  std::uint32_t max_lines_per_second = 1'500;
  /// Lines are collected for up to this long and written together.
  Duration flush_delay = std::chrono::milliseconds(100);
};

/// Writes each event as one line of JSON through Boost.Log. Never blocks: when
/// the reader of the descriptor does not keep up, lines are dropped, and the
/// next line written carries their number as "omitted". Lines that are still
/// collected when the process is killed are lost.
class EventOutput {
 public:
  explicit EventOutput(TimerService& timers,
                       const EventOutputOptions& options = {});
  ~EventOutput();
  EventOutput(const EventOutput&) = delete;
  EventOutput& operator=(const EventOutput&) = delete;

  void Write(std::string_view part, std::string_view event,
             const std::vector<EventField>& fields);
  /// Number of lines dropped since construction.
  std::uint64_t omitted() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace pomelomill
