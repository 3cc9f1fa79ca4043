#pragma once

#include <string>
#include <vector>

namespace review {

/// Runs the platform's store and its list of machines until the process ends.
/// Each address of `fronts` serves the whole store, so that a front can turn
/// one machine away while it serves the others. `operator_address` takes
///   POST /put?key=K[&ttlMs=N]   stores the body, for N ms if given
///   GET  /get?key=K             the stored value, or 404
///   POST /mode?front=I&mode=M   up, or busy: answers 503 from now on
///   POST /lose?front=I&text=T&busyMs=N
///        the next transaction that names a key with T in it is carried out,
///        its connection is reset instead of an answer, and the front is busy
///        for N ms
int RunStore(const std::vector<std::string>& fronts,
             const std::string& machines_address,
             const std::string& operator_address);

}  // namespace review
