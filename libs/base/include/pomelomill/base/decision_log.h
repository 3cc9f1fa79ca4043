#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

#include "pomelomill/base/time.h"

namespace pomelomill {

/// What a decision is about: the kind is one of "vm", "pool", "service",
/// "queue", "wave", "revision", "worker", "job", "entry".
struct Subject {
  std::string kind;
  std::string name;

  bool operator==(const Subject&) const = default;
};

/// One fact that a decision was based on.
struct Fact {
  std::string name;
  std::string value;
};

/// A choice that was not taken. `margin` says by how much it lost, in the
/// unit that `reason` names; 0 when it was not allowed at all.
struct Alternative {
  std::string name;
  std::string reason;
  double margin = 0;
};

/// What was decided, why, and what else was considered.
struct Decision {
  std::uint64_t sequence = 0;
  Instant at{};
  std::vector<Subject> subjects;
  std::string choice;
  std::string reason;
  std::vector<Fact> facts;
  std::vector<Alternative> alternatives;
};

/// The latest decisions of one process, bounded in number.
class DecisionLog {
 public:
  explicit DecisionLog(std::size_t capacity = 4096) : capacity_(capacity) {}

  /// Stores the decision under the next sequence number, which it returns.
  std::uint64_t Record(Decision decision);

  /// All stored decisions on one subject, oldest first.
  std::vector<Decision> Explain(std::string_view kind,
                                std::string_view name) const;

  const std::deque<Decision>& decisions() const { return decisions_; }

 private:
  std::size_t capacity_;
  std::uint64_t next_sequence_ = 1;
  std::deque<Decision> decisions_;
};

}  // namespace pomelomill
