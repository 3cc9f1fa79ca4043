#pragma once

#include <string>

namespace pomelomill::review {

/// Serves one runner on a free loopback port until the process is ended. Its
/// first line on the standard output is "ready ADDRESS BORN"; each further one
/// tells an event: "start TASK RUN", "end TASK RUN HOW" or "seen TASK RUN HOW".
/// The payload of a work item is its run time in milliseconds; a negative one
/// means that it lasts until it is stopped.
int ServeRunner(const std::string& id);

}  // namespace pomelomill::review
