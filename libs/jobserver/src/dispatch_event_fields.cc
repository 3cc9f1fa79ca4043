#include "dispatch_event_fields.h"

#include <string>

namespace pomelomill {

const char* YesOrNo(bool is_true) { return is_true ? "yes" : "no"; }

std::vector<EventField> FieldsOf(const DispatchEvent& event) {
  std::vector<EventField> fields;
  if (!event.key.job.empty()) {
    fields.push_back({"job", event.key.job.value()});
    if (event.run != 0) fields.push_back({"task", ToText(event.key)});
  }
  if (event.run != 0) fields.push_back({"run", std::to_string(event.run)});
  if (!event.worker.empty()) fields.push_back({"worker", event.worker.value()});
  if (!event.detail.empty()) fields.push_back({"detail", event.detail});
  return fields;
}

std::vector<EventField> FieldsOf(const WorkerId& worker,
                                 const WorkerReport& report,
                                 const WorkerSilence& silence,
                                 std::int64_t age_ms) {
  return {{"worker", worker.value()},
          {"started_ms", std::to_string(report.started_ms)},
          {"age_ms", std::to_string(age_ms)},
          {"incarnation", silence.is_new_incarnation ? "new" : "same"},
          {"silent_ms", std::to_string(ToMillis(silence.lasted))},
          {"first_wait_ms", std::to_string(ToMillis(silence.first_wait))},
          {"failures", std::to_string(silence.failures)},
          {"timeouts", std::to_string(silence.timeouts)}};
}

std::vector<EventField> FieldsOf(const WorkspaceId& workspace,
                                 const PoolShare& former,
                                 const PoolShare& share,
                                 const WorkspaceUse& use) {
  return {{"workspace", workspace.value()},
          {"former_cpu", std::to_string(former.amount.cpu_millis)},
          {"cpu", std::to_string(share.amount.cpu_millis)},
          {"memory_mb", std::to_string(share.amount.memory_mb)},
          {"gpus", std::to_string(share.amount.gpus)},
          {"used_cpu", std::to_string(use.used.cpu_millis)},
          {"waiting_cpu", std::to_string(use.waiting.cpu_millis)},
          {"more_needed", YesOrNo(share.is_waiting)}};
}

}  // namespace pomelomill
