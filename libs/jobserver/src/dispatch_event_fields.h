#pragma once

#include <vector>

#include "pomelomill/base/event_log.h"
#include "pomelomill/dispatch/dispatcher.h"

namespace pomelomill {

/// Returns the fields of a dispatcher's event for the log; a part that the
/// event does not have is left out.
std::vector<EventField> FieldsOf(const DispatchEvent& event);

}  // namespace pomelomill
