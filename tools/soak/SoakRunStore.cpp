#include "soak/SoakRun.h"

#include <utility>

namespace mustardwinch::soak {
namespace {

constexpr Milliseconds kOthersPause{ 60 };

} // namespace

void SoakRun::PlanStoreSteps()
{
  if (!mOptions.restores) {
    return;
  }
  WriteOthers();
  for (const StoreStep& it : MakeStorePlan(mOptions.seed, mOptions.length)) {
    Later(it.copied, [this] { mStore->TakeCopy(); });
    Later(it.away, [this, it] { BeginAway(it); });
    Later(it.back, [this] {
      mStore->RestoreCopy();
      mStore->SetFault(StandinStore::Fault::kNone);
    });
    Later(it.rewritten, [this] {
      RewriteLost();
      AddRoute();
      while (mStore->Revision() < mRevisionLost) {
        mStore->Put("others", "one", mStore->Revision());
      }
    });
  }
}

void SoakRun::WriteOthers()
{
  if (!mAway) {
    mStore->Put("others", "one", mStore->Revision());
  }
  Later(kOthersPause, [this] { WriteOthers(); });
}

void SoakRun::BeginAway(const StoreStep& aStep)
{
  Log(aStep.away, "store-restored", mStore->Epoch() + 1, aStep.back - aStep.away);
  mAway = true;
  mRevisionLost = mStore->Revision();
  mJudge.OnStoreFault(mClock.Now() + (aStep.rewritten - aStep.away));
  if (aStep.cuts) {
    mStore->CutWatches();
  }
  mStore->SetFault(aStep.silent ? StandinStore::Fault::kSilent : StandinStore::Fault::kBusy);
}

/** The operator writes again what had been acknowledged, then what could not be written meanwhile.
 */
void SoakRun::RewriteLost()
{
  mAway = false;
  mStore->Put("config", "main", mConfig);
  for (const char* it : kSoakDomains) {
    if (mOut.count(it) != 0) {
      mStore->Put("evacuations", it, nlohmann::json::object());
    } else {
      mStore->Remove("evacuations", it);
    }
  }
  for (const auto& it : std::exchange(mHeldWrites, {})) {
    it();
  }
}

void SoakRun::AddRoute()
{
  mAddedRoutes.push_back("added-" + std::to_string(mAddedRoutes.size()));
  WriteConfig();
  mJudge.OnRouteAdded(mAddedRoutes.back(), mClock.Now());
}

void SoakRun::WriteWhenBack(std::function<void()> aWrite)
{
  if (mAway) {
    mHeldWrites.push_back(std::move(aWrite));
  } else {
    aWrite();
  }
}

} // namespace mustardwinch::soak
