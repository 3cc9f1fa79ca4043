#include "report.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

#include "text.h"

namespace pomelomill::faults {
namespace {

/// Failing cells beyond this are counted but not listed.
constexpr std::size_t kMaxListed = 200;

}  // namespace

void Report::set_known_red(const std::string& text) {
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    const auto start = line.find("scripts/faults.sh ");
    if (start != std::string::npos) known_red_.insert(line.substr(start));
  }
}

void Report::Add(const Group& group, const Cell& cell,
                 const CellResult& result) {
  const std::string row =
      cell.faults.empty() ? group.name : cell.faults.back().step;
  if (!counts_.contains(row)) rows_.push_back(row);
  Count& count = counts_[row][cell.kind];
  const std::string command = RepeatCommand(cell, seed_);
  if (!result.findings.empty() && known_red_.contains(command)) {
    met_red_.push_back(command);
    return;
  }
  if (!result.findings.empty()) {
    ++count.failed;
    ++failed_;
    failures_.push_back({command, result.findings});
  } else if (!result.is_reached) {
    ++count.not_reached;
    ++not_reached_;
    return;
  } else {
    ++count.passed;
    ++passed_;
  }
  for (const std::string& it : group.properties) ++checked_[it];
}

void Report::Print(std::ostream& out) const {
  out << "Cells passed/failed/not reached, by the step of the last fault, "
         "seed "
      << seed_ << "\n\n";
  out << std::left << std::setw(26) << "step" << std::setw(16) << "no fault"
      << std::setw(16) << "once" << std::setw(16) << "twice"
      << "pairs\n";
  for (const std::string& row : rows_) {
    out << std::setw(26) << row;
    for (CellKind kind : {CellKind::kNoFault, CellKind::kSingle,
                          CellKind::kTwice, CellKind::kPair}) {
      const auto& kinds = counts_.at(row);
      const auto it = kinds.find(kind);
      const std::string text =
          it == kinds.end() ? "-"
                            : Text(it->second.passed, '/', it->second.failed,
                                   '/', it->second.not_reached);
      if (kind == CellKind::kPair) {
        out << text << '\n';
      } else {
        out << std::setw(16) << text;
      }
    }
  }
  out << "\nCells in which each property was checked:";
  for (const auto& [property, n] : checked_) out << ' ' << property << ' ' << n;
  out << "\nCells whose last fault was not reached, not counted: "
      << not_reached_ << '\n';
  for (const std::string& it : met_red_) {
    out << "known red, not counted: " << it << '\n';
  }
  for (std::size_t i = 0; i < std::min(failures_.size(), kMaxListed); ++i) {
    out << "\nfailed: " << failures_[i].command << '\n';
    for (const Finding& it : failures_[i].findings) {
      out << "  " << it.property << ": " << it.text << '\n';
    }
  }
  if (failures_.size() > kMaxListed) {
    out << "\n" << failures_.size() - kMaxListed << " more cells failed\n";
  }
  out << '\n' << passed_ << " passed, " << failed_ << " failed\n";
}

}  // namespace pomelomill::faults
