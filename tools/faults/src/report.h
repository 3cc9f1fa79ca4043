#pragma once

#include <cstdint>
#include <map>
#include <ostream>
#include <set>
#include <string>
#include <vector>

#include "matrix.h"

namespace pomelomill::faults {

/// Collects the results of all cells and prints them as a table.
class Report {
 public:
  explicit Report(std::uint64_t seed) : seed_(seed) {}

  /// A failing cell whose command is a line of this text (KNOWN-RED.txt) is
  /// printed and counted apart.
  void set_known_red(const std::string& text);

  void Add(const Group& group, const Cell& cell, const CellResult& result);

  /// The table, the failing cells with their commands, and as the last line
  /// "N passed, N failed".
  void Print(std::ostream& out) const;

  std::uint64_t passed() const { return passed_; }
  std::uint64_t failed() const { return failed_; }
  std::uint64_t not_reached() const { return not_reached_; }

 private:
  struct Count {
    std::uint64_t passed = 0;
    std::uint64_t failed = 0;
    std::uint64_t not_reached = 0;
  };
  struct Failure {
    std::string command;
    std::vector<Finding> findings;
  };

  std::uint64_t seed_;
  std::uint64_t passed_ = 0;
  std::uint64_t failed_ = 0;
  std::uint64_t not_reached_ = 0;
  std::vector<std::string> rows_;
  std::map<std::string, std::map<CellKind, Count>> counts_;
  std::map<std::string, std::uint64_t> checked_;
  std::vector<Failure> failures_;
  std::set<std::string> known_red_;
  std::vector<std::string> met_red_;
};

}  // namespace pomelomill::faults
