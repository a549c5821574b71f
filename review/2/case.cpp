// A back end rejects a request (X-Not-Executed) and a second copy of that answer comes late, at the
// point where the next answer is expected on the connection. The next request on it is the same
// one, sent once more.
#include "kit.h"

using namespace kit;

namespace {

constexpr double kTroubleFor = 5; //!< of the site file: garble "extra late", for_s = 5.0
constexpr int kOneIn = 40;        //!< a share of 0.025 of the answers; the site file: x = 0.03
constexpr double kPerSecond = 60;
constexpr int kConsumers = 8;
constexpr int kTimeoutMs = 6000;

} // namespace

int main(int argc, char** argv)
{
  Begin(argc, argv);
  const bool trouble = TroubleWanted();
  Deployment deployment;
  Store store;
  if (!store.Start(deployment.StoreAddress())) {
    Finish(deployment, kCannotRun);
  }
  const Machine one = deployment.Add("sidecar-a-1", "zone-a", "booking");
  const Machine two = deployment.Add("sidecar-b-1", "zone-b", "portal");
  json config = Config("shop.example", "key-3fexd9dnn2ctnfzs", { "booking", "portal" }, "unsafe");
  json& rules = config["listeners"][0]["rules"];
  json patient = rules[0]; // the same service with another figure of the operator's
  patient["name"] = "r-booking-patient";
  patient["match"]["pathPrefix"] = "/booking-patient/";
  patient["action"]["maxAttempts"] = 3;
  rules.push_back(patient);
  store.Put("config", "main", config);
  deployment.StartNode(one);
  deployment.StartNode(two);

  Arrivals arrivals;
  Backend booking(one, "i-7f3a91c2", 0.05, arrivals);
  Backend portal(two, "i-02d9e6b4", 0.05, arrivals);
  std::atomic<bool> extra{ false };
  std::atomic<int> copies{ 0 };
  std::mutex mutex;
  std::map<int, std::string> late; //!< by connection: the copy that is still to come

  // Both with and without the trouble, one request in 40 is rejected as by a back end that is full.
  booking.reject = [](Backend&, const Message&, int aNumber) { return aNumber % kOneIn == 0; };
  booking.after =
    [&](Backend&, int aFd, const Message& aRequest, int aNumber, const std::string& aAnswer) {
      if (extra && aNumber % kOneIn == 0) {
        gRecord.Line("back end: a second copy of the answer to %s will come late",
                     aRequest.Header("x-request-id").c_str());
        const std::lock_guard<std::mutex> lock(mutex);
        late[aFd] = aAnswer;
      }
    };
  booking.before = [&](Backend&, int aFd, const Message& aRequest, int) {
    std::string copy;
    {
      const std::lock_guard<std::mutex> lock(mutex);
      copy = std::exchange(late[aFd], {});
    }
    if (!copy.empty()) {
      ++copies;
      gRecord.Line("back end: the late copy comes as request %s arrives",
                   aRequest.Header("x-request-id").c_str());
      return SendAll(aFd, copy);
    }
    return true;
  };
  if (!booking.Start() || !portal.Start() || !deployment.AwaitReady({ one, two }, 20)) {
    Finish(deployment, kCannotRun);
  }
  Sleep(3);

  const std::string key = "key-3fexd9dnn2ctnfzs";
  Load twoAttempts({ one }, "shop.example", "POST", "/booking/new", key, "m2");
  Load threeAttempts({ one }, "shop.example", "POST", "/booking-patient/new", key, "m3");
  twoAttempts.Start(kPerSecond * 3 / 4, kConsumers * 3 / 4, kTimeoutMs);
  threeAttempts.Start(kPerSecond / 4, kConsumers / 4, kTimeoutMs);
  Sleep(4);
  gRecord.Say("late copies begin");
  extra = trouble;
  Sleep(kTroubleFor);
  extra = false;
  gRecord.Say("late copies end, %d came", copies.load());
  Sleep(2);
  twoAttempts.Stop();
  threeAttempts.Stop();
  Sleep(2); // a run may still follow

  std::map<std::string, int> runs;
  for (const Arrival& it : arrivals.All()) {
    runs[it.id] += it.ran ? 1 : 0;
  }
  int answered = 0;
  int refused = 0;
  int broken = 0; // REFUSED, the rule of this case
  int twice = 0;
  std::vector<Sent> sent = twoAttempts.All();
  const std::vector<Sent> more = threeAttempts.All();
  sent.insert(sent.end(), more.begin(), more.end());
  for (const Sent& it : sent) {
    answered += it.status == 200 ? 1 : 0;
    const bool promise =
      it.status == 429 || it.status == 503 || it.status == 408 || it.status == 421;
    refused += promise ? 1 : 0;
    if (promise && runs[it.id] != 0) {
      ++broken;
      gRecord.Say("REFUSED: request %s was answered %d and has run %d time(s)",
                  it.id.c_str(),
                  it.status,
                  runs[it.id]);
    }
    if (runs[it.id] > 1) {
      ++twice;
      gRecord.Say("TWICE: request %s has run %d times", it.id.c_str(), runs[it.id]);
    }
  }
  gRecord.Say("%zu requests, %d served, %d refused; REFUSED broken by %d, TWICE by %d",
              sent.size(),
              answered,
              refused,
              broken,
              twice);
  if (answered < 100 || (trouble && copies == 0)) {
    Finish(deployment, kCannotRun);
  }
  Finish(deployment, broken != 0 ? kBroken : kHeld);
}
