#pragma once

#include <map>
#include <string>
#include <vector>

#include "pomelomill/base/time.h"
#include "pomelomill/config/declarations.h"
#include "pomelomill/jobs/quantile_estimate.h"
#include "pomelomill/platform/platform_client.h"

namespace pomelomill {

/// Learned size and run time of each job class. The declared values are the
/// prior. Accelerators are counted devices and stay as declared.
class SizeBook {
 public:
  /// Size and run time of one class.
  struct ClassEstimate {
    QuantileEstimate cores;
    QuantileEstimate memory_mb;
    QuantileEstimate run_s;
    double accelerators = 0;
  };

  /// Declares a class; learned samples of the same name are kept.
  void Declare(const JobClassDeclaration& job_class);

  /// Size to reserve for a task of the class.
  Resources Size(const std::string& job_class) const;

  /// Run time that 75% of the tasks stay below.
  Duration RunTime(const std::string& job_class) const;

  void AddUsage(const std::string& job_class, const Resources& peak);
  void AddRunTime(const std::string& job_class, Duration run_time);

  /// The task ended for lack of memory at `limit`: at least twice as much is
  /// reserved from now on.
  void AddOutOfMemory(const std::string& job_class, const Resources& limit);

  /// Splits the usage of one worker over the classes of its tasks, in
  /// proportion to the present estimates. Repeated over workers with different
  /// mixes this converges (iterative proportional fitting).
  void AddWorkerUsage(const std::vector<std::string>& job_classes,
                      const Resources& usage);

  const std::map<std::string, ClassEstimate>& classes() const {
    return classes_;
  }

  /// Sets the estimate of a class as its prior, as another process learned it.
  void Restore(const std::string& job_class, const Resources& size,
               Duration run_time);

 private:
  std::map<std::string, ClassEstimate> classes_;
};

}  // namespace pomelomill
