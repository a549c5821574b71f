#include "soak/SoakNode.h"

#include "soak/PromiseBounds.h"

#include <csignal>
#include <cstdio>
#include <fstream>
#include <utility>

namespace mustardwinch::soak {
namespace {

constexpr Milliseconds kRestartPause{ 400 };
constexpr Milliseconds kExitSlack{ 1'500 }; //!< beyond the grace, on a busy machine

} // namespace

SoakNode::SoakNode(boost::asio::io_context& aLoop,
                   Clock& aClock,
                   NodePlace aPlace,
                   SoakPaths aPaths,
                   PromiseJudge& aJudge)
  : mClock(aClock)
  , mPlace(std::move(aPlace))
  , mPaths(std::move(aPaths))
  , mJudge(aJudge)
  , mRelay(aLoop, mPlace.relay, mPlace.link)
{
}

std::string SoakNode::FileOf(const std::string& aSuffix) const
{
  return mPaths.folder + "/node-" + std::to_string(mPlace.number) + aSuffix;
}

bool SoakNode::WriteSettings() const
{
  const std::string path = FileOf(".yaml");
  const std::string fresh = path + ".new";
  std::ofstream file(fresh);
  file << "vm_name: vm-" << mPlace.number << "\n"
       << "region: r\n"
       << "failure_domain: " << mPlace.failureDomain << "\n"
       << "service: " << mPlace.service << "\n"
       << "listen:\n"
       << "  link: " << mPlace.link.ToString() << "\n"
       << "  advertised_link: " << mPlace.relay.ToString() << "\n"
       << "  callers: " << mPlace.callers.ToString() << "\n"
       << "  readiness: " << mPlace.readiness.ToString() << "\n"
       << "  control: " << mPlace.control.ToString() << "\n"
       << "  metrics: " << mPlace.metrics.ToString() << "\n"
       << "platform: " << mPlace.store.ToString() << "\n"
       << "stop_grace_s: " << std::chrono::duration_cast<Seconds>(PromiseBounds{}.grace).count()
       << "\n"
       << "rates:\n"
       << "  slack: " << PromiseBounds{}.rateSlack << "\n"
       << "log_lines_per_s: " << 1'000 + mReloads << "\n";
  file.close();
  return file.good() && std::rename(fresh.c_str(), path.c_str()) == 0;
}

bool SoakNode::Start()
{
  mRestartAt.reset();
  mStopAt.reset();
  mWakeAt.reset();
  mKilled = false;
  if (!WriteSettings()) {
    return false;
  }
  mProcess =
    ChildProcess::Start(mPaths.program, { "--settings=" + FileOf(".yaml") }, FileOf(".log"));
  mJudge.OnNodeStart(mPlace.number, mClock.Now());
  return mProcess != nullptr;
}

void SoakNode::Stop()
{
  if (mProcess && !mStopAt && !mKilled) {
    mStopAt = mClock.Now();
    mProcess->Signal(SIGTERM);
    mJudge.OnStopSignal(mPlace.number, mClock.Now());
  }
}

void SoakNode::Kill()
{
  if (mProcess) {
    mKilled = true;
    mJudge.OnNodeFault(mPlace.number, mClock.Now());
    mProcess->Signal(SIGKILL);
  }
}

void SoakNode::Pause(Milliseconds aLength)
{
  if (mProcess && !mWakeAt) {
    mWakeAt = mClock.Now() + aLength;
    mJudge.OnNodeFault(mPlace.number, *mWakeAt);
    mProcess->Signal(SIGSTOP);
  }
}

void SoakNode::Reload(bool aSignal)
{
  ++mReloads;
  if (WriteSettings() && aSignal && mProcess) {
    mProcess->Signal(SIGHUP);
  }
}

void SoakNode::Tick()
{
  const TimePoint now = mClock.Now();
  if (mWakeAt && now >= *mWakeAt) {
    mWakeAt.reset();
    mJudge.OnNodeFault(mPlace.number, now);
    mProcess->Signal(SIGCONT);
  }
  if (mProcess) {
    if (const auto code = mProcess->AwaitExit(Milliseconds(0))) {
      OnExit(*code);
    } else if (mStopAt && !mKilled && !mWakeAt && now > *mStopAt + PromiseBounds{}.grace) {
      Kill(); // as the platform does
    }
  }
  if (mRestartAt && now >= *mRestartAt) {
    Start();
  }
}

void SoakNode::OnExit(int aCode)
{
  if (!mKilled) {
    mJudge.OnExit(mPlace.number, aCode, mClock.Now());
  }
  mJudge.OnNodeFault(mPlace.number, mClock.Now());
  mProcess.reset();
  mWakeAt.reset();
  mRestartAt = mClock.Now() + kRestartPause;
}

void SoakNode::BeginEnd()
{
  if (mProcess) {
    mProcess->Signal(SIGCONT);
    mProcess->Signal(SIGTERM);
  }
}

bool SoakNode::AwaitEnd()
{
  if (!mProcess) {
    return true;
  }
  const auto code = mProcess->AwaitExit(PromiseBounds{}.grace + kExitSlack);
  mProcess.reset(); // kills it if it still runs
  return code == 0;
}

} // namespace mustardwinch::soak
