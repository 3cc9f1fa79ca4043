#include "dispatch_event_fields.h"

#include <string>

namespace pomelomill {

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

}  // namespace pomelomill
