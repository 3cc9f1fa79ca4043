#include "groups.h"

namespace pomelomill::faults {

const std::vector<Group>& AllGroups() {
  static const std::vector<Group> groups{
      ApplyGroup(), LeaseGroup(),      DispatchGroup(),
      JobsGroup(),  MembershipGroup(), EntryGroup(),
      ClaimGroup(), MoveGroup(),       StopGroup()};
  return groups;
}

}  // namespace pomelomill::faults
