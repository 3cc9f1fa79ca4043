#include "pomelomill/dispatch/worker_report.h"

namespace pomelomill {

const char* ToText(RunOutcome outcome) {
  switch (outcome) {
    case RunOutcome::kDone:
      return "done";
    case RunOutcome::kFailed:
      return "failed";
    case RunOutcome::kStopped:
      return "stopped";
    case RunOutcome::kLeaseExpired:
      return "lapsed";
    case RunOutcome::kGangBroken:
      return "gang-broken";
    case RunOutcome::kGangIncomplete:
      return "gang-incomplete";
  }
  return "failed";
}

const char* ToText(StartOutcome outcome) {
  switch (outcome) {
    case StartOutcome::kStarted:
      return "started";
    case StartOutcome::kFenced:
      return "fenced";
    case StartOutcome::kStaleRun:
      return "old-run";
    case StartOutcome::kDeadlinePassed:
      return "late";
    case StartOutcome::kNoRoom:
      return "no-room";
    case StartOutcome::kNoTicket:
      return "no-ticket";
    case StartOutcome::kUnhealthy:
      return "unhealthy";
    case StartOutcome::kNotSent:
      return "not-sent";
    case StartOutcome::kRejected:
      return "rejected";
    case StartOutcome::kOtherIncarnation:
      return "other-life";
    case StartOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

const char* ToText(WorkerLoss loss) {
  switch (loss) {
    case WorkerLoss::kConnectionsRefused:
      return "connections refused";
    case WorkerLoss::kOtherIncarnation:
      return "another incarnation responded";
    case WorkerLoss::kLeaseExpired:
      return "lease expired";
  }
  return "lease expired";
}

}  // namespace pomelomill
