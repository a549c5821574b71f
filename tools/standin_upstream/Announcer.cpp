#include "standin_upstream/Announcer.h"

#include <curl/curl.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace mustardwinch::standin {

namespace {

constexpr Milliseconds kInterval{ 1000 };
constexpr long kTimeoutMs = 1000;
constexpr Seconds kSampleAge{ 120 };

std::size_t Discard(char* /*aBytes*/, std::size_t aSize, std::size_t aCount, void* /*aContext*/)
{
  return aSize * aCount;
}

void Post(const std::string& aUrl, const std::string& aBody)
{
  CURL* curl = curl_easy_init();
  curl_easy_setopt(curl, CURLOPT_URL, aUrl.c_str());
  curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, kTimeoutMs);
  curl_easy_setopt(curl, CURLOPT_POSTFIELDS, aBody.c_str());
  curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, Discard);
  curl_slist* headers = curl_slist_append(nullptr, "Content-Type: application/json");
  curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
  // A lost announcement is repeated at the next interval.
  curl_easy_perform(curl);
  curl_slist_free_all(headers);
  curl_easy_cleanup(curl);
}

} // namespace

Announcer::Announcer(Settings aSettings,
                     std::function<int()> aLoad,
                     std::function<Milliseconds()> aLag)
  : mSettings(std::move(aSettings))
  , mLoad(std::move(aLoad))
  , mLag(std::move(aLag))
  , mThread([this] { Run(); })
{
}

Announcer::~Announcer()
{
  {
    std::lock_guard lock(mStateMutex);
    mStopping = true;
  }
  mChanged.notify_all();
  mThread.join();
}

void Announcer::SetState(const std::string& aState)
{
  {
    std::lock_guard lock(mStateMutex);
    mState = aState;
  }
  Announce(aState);
}

void Announcer::Run()
{
  std::unique_lock lock(mStateMutex);
  while (!mChanged.wait_for(lock, kInterval, [this] { return mStopping; })) {
    const std::string state = mState;
    if (state.empty()) {
      continue;
    }
    lock.unlock();
    Announce(state);
    lock.lock();
  }
}

void Announcer::Announce(const std::string& aState)
{
  if (mSettings.node.empty()) {
    return;
  }
  std::lock_guard post(mPostMutex);
  {
    std::lock_guard lock(mStateMutex);
    if (aState != mState) {
      return; // a newer state has been announced meanwhile
    }
  }
  const nlohmann::json body{
    { "service", mSettings.service },   { "upstream", mSettings.upstream },
    { "instance", mSettings.instance }, { "state", aState },
    { "slots", mSettings.slots },       { "connections", mSettings.connections },
    { "load", LaggingLoad() },
  };
  Post("http://" + mSettings.node + "/announce", body.dump());
}

int Announcer::LaggingLoad()
{
  const TimePoint now = mClock.Now();
  mSamples.push_back({ now, mLoad() });
  while (now - mSamples.front().time > kSampleAge) {
    mSamples.pop_front();
  }
  const TimePoint wanted = now - mLag();
  int load = mSamples.front().load;
  for (const Sample& it : mSamples) {
    if (it.time <= wanted) {
      load = it.load;
    }
  }
  return load;
}

} // namespace mustardwinch::standin
