#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "pomelomill/base/ids.h"
#include "pomelomill/base/result.h"
#include "pomelomill/config/declarations.h"

namespace pomelomill {

/// Key of the accepted configuration in the store.
inline constexpr const char* kConfigKey = "config/current";

/// One apply that was accepted before.
struct AcceptedApply {
  ApplyId apply_id;
  Revision revision;
  /// StableHash of the text.
  std::uint64_t text_hash = 0;

  bool operator==(const AcceptedApply&) const = default;
};

/// Applies that a record remembers. A repeat of one that is no longer listed
/// would be accepted again and undo later revisions; 64 is an hour of changes
/// at 1,500 a day.
inline constexpr std::size_t kMaxRememberedApplies = 64;

/// The value of `config/current`: one accepted configuration.
struct ConfigRecord {
  /// One more than the revision that it replaces; the first is 1.
  Revision revision;
  /// Who applied it, for conflict reports.
  std::string author;
  /// Chosen by the operator; a repeat with the same id has no second effect.
  ApplyId apply_id;
  /// Writer and sequence of the write, by which a writer whose response was
  /// lost finds its own write.
  std::string writer;
  std::uint64_t sequence = 0;
  /// Wall-clock time of the apply in UTC, for people only.
  std::string applied_at;
  /// Canonical text of the declarations.
  std::string text;
  /// The applies before this one, latest first.
  std::vector<AcceptedApply> earlier;

  bool operator==(const ConfigRecord&) const = default;
};

/// This record's own apply and the earlier ones, latest first, bounded to
/// kMaxRememberedApplies: the `earlier` of the next record.
std::vector<AcceptedApply> AppliesUpTo(const ConfigRecord& record);

/// JSON form of a record.
std::string ToJson(const ConfigRecord& record);

/// The record of a JSON text, or kMalformedRecord.
Result<ConfigRecord> ReadConfigRecord(const std::string& json);

/// The configuration that is in force in one process: the highest revision
/// seen from any source.
class ConfigState {
 public:
  /// Puts a record in force. Returns true when it is new, false when it is
  /// already in force; kOldRevision for a lower revision, kRevisionConflict
  /// for another text under the same revision, kMalformed for a text that is
  /// not valid. After an error the state is unchanged.
  Result<bool> Offer(const ConfigRecord& record);

  /// Zero before the first record.
  Revision revision() const { return record_.revision; }
  const ConfigRecord& record() const { return record_; }
  /// Null before the first record.
  const std::shared_ptr<const Declarations>& declarations() const {
    return declarations_;
  }

 private:
  ConfigRecord record_;
  std::shared_ptr<const Declarations> declarations_;
};

}  // namespace pomelomill
