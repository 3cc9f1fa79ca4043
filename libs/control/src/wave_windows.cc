#include "pomelomill/control/wave_windows.h"

namespace pomelomill {
namespace {

using std::chrono::seconds;

constexpr std::int64_t kSecondsPerDay = std::int64_t{24} * 3600;

/// Seconds from `now_s` until the time of day `minute` (in minutes after
/// midnight) is next reached; in [0, kSecondsPerDay).
std::int64_t SecondsUntilMinute(std::uint32_t minute, std::int64_t now_s) {
  const std::int64_t at = static_cast<std::int64_t>(minute) * 60;
  return ((at - now_s) % kSecondsPerDay + kSecondsPerDay) % kSecondsPerDay;
}

WaveWindow WindowOf(const MaintenanceDeclaration& wave, std::int64_t now_s) {
  WaveWindow window;
  if (!wave.not_before_minute && !wave.deadline_minute) return window;
  if (wave.deadline_minute)
    window.until_deadline =
        seconds(SecondsUntilMinute(*wave.deadline_minute, now_s));
  if (!wave.not_before_minute) return window;
  const seconds until_start(SecondsUntilMinute(*wave.not_before_minute, now_s));
  const seconds since_start = until_start - seconds(kSecondsPerDay);
  if (!wave.deadline_minute) {
    // Without a deadline the window lasts from its start until midnight.
    const bool has_started =
        SecondsUntilMinute(0, now_s) <= until_start.count();
    window.until_start = has_started ? since_start : until_start;
    return window;
  }
  // Within the window, the deadline is reached before the next start.
  const bool is_inside = *window.until_deadline <= until_start;
  window.until_start = is_inside ? since_start : until_start;
  return window;
}

}  // namespace

std::map<WaveId, WaveWindow> WaveWindows(const Declarations& declarations,
                                         std::int64_t local_time_s) {
  std::map<WaveId, WaveWindow> windows;
  const std::int64_t now_s =
      (local_time_s % kSecondsPerDay + kSecondsPerDay) % kSecondsPerDay;
  for (const auto& [id, wave] : declarations.maintenance)
    windows.emplace(id, WindowOf(wave, now_s));
  return windows;
}

}  // namespace pomelomill
