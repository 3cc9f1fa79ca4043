#pragma once

#include <string>
#include <vector>

#include "evidence.h"

namespace pomelomill::faults {

/// What a checker found wrong; empty when the property holds.
using Violations = std::vector<std::string>;

/// P1: of the requests whose entry and VM survived, each queue's budgeted
/// share is answered completely within the deadline.
class BudgetChecker {
 public:
  Violations Check(const Evidence& evidence) const;
};

/// P2: every VM is in one pool in every region state, epochs never decrease,
/// each write took effect once, no process acts on a control lease that has
/// ended, and no VM runs requests of two pools.
class OnePoolChecker {
 public:
  Violations Check(const Evidence& evidence) const;

 private:
  void CheckWrites(const Evidence& evidence, Violations& found) const;
  void CheckAuthority(const Evidence& evidence, Violations& found) const;
  void CheckRuns(const Evidence& evidence, Violations& found) const;
};

/// P3: a caller gets at most one response, and an answer is the complete
/// response to its own request.
class ResponseChecker {
 public:
  Violations Check(const Evidence& evidence) const;
};

/// P4: a request reported as not run was never begun by an endpoint.
class NotRunChecker {
 public:
  Violations Check(const Evidence& evidence) const;
};

/// P5: a request or key that must not be repeated began at most once, and no
/// task ran on two workers at the same time.
class AtMostOnceChecker {
 public:
  Violations Check(const Evidence& evidence) const;
};

/// P6: from 3 s after an intent is in the region state, its VM begins no
/// request until it has returned.
class LeavingChecker {
 public:
  Violations Check(const Evidence& evidence) const;
};

/// P7: no planned stop or reboot meets a request in flight.
class GracefulStopChecker {
 public:
  Violations Check(const Evidence& evidence) const;
};

/// P8: revisions increase in the store and in every process, every accepted
/// revision is in force everywhere in time, and apply reports the truth.
class ConfigurationChecker {
 public:
  Violations Check(const Evidence& evidence) const;

 private:
  void CheckWrites(const Evidence& evidence, Violations& found) const;
  void CheckReports(const Evidence& evidence, Violations& found) const;
  void CheckReverts(const Evidence& evidence, Violations& found) const;
  void CheckReach(const Evidence& evidence, Violations& found) const;
};

/// One finding of one property.
struct Finding {
  std::string property;
  std::string text;
};

/// Runs the checkers of the named properties ("P1" to "P8").
std::vector<Finding> CheckProperties(const std::vector<std::string>& properties,
                                     const Evidence& evidence);

}  // namespace pomelomill::faults
