#include "sidecar/WatchDuty.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace mustardwinch;

namespace {

struct FailureDomainOfVms
{
  /** VMs that take themselves for the watcher. */
  std::vector<std::string> Watchers() const
  {
    std::vector<std::string> watchers;
    for (const WatchCandidate& it : live) {
      if (HasWatchDuty(live, it.vm)) {
        watchers.push_back(it.vm);
      }
    }
    return watchers;
  }

  void CutOff(const std::string& aVm)
  {
    for (WatchCandidate& it : live) {
      it.reachesStore = it.reachesStore && it.vm != aVm;
    }
  }

  std::vector<WatchCandidate> live{ { "vm-0" }, { "vm-1" }, { "vm-2" }, { "vm-3" } };
};

} // namespace

TEST_CASE_FIXTURE(FailureDomainOfVms, "WatchDuty, all reach the store, one VM has it")
{
  CHECK(Watchers().size() == 1);
}

// Guards against a configuration that reaches no node in time, because the VM that watches the
// store for its failure domain does not reach it.
TEST_CASE_FIXTURE(FailureDomainOfVms,
                  "WatchDuty, its VM does not reach the store, another one takes it over")
{
  for (std::size_t cut = 1; cut < live.size(); ++cut) {
    const std::string before = Watchers().front();
    CutOff(before);
    REQUIRE(Watchers().size() == 1);
    CHECK(Watchers().front() != before);
  }
}

TEST_CASE_FIXTURE(FailureDomainOfVms, "WatchDuty, no VM reaches the store, the first one keeps it")
{
  const std::vector<std::string> before = Watchers();
  for (const WatchCandidate& it : std::vector(live)) {
    CutOff(it.vm);
  }
  CHECK(Watchers() == before);
}
