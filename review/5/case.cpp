// Another writer leaves one odd ping under the id of a back end, with a number that is too large.
// What the back end says of itself afterwards is acknowledged and left out, its leaving as well.
#include "kit.h"

using namespace kit;

namespace {

constexpr double kDrainS = 2; //!< drainMs
constexpr double kServeOnS =
  8; //!< a back end that drains serves on for "a little longer (at times many seconds)"
constexpr double kPerSecond = 60;
constexpr int kConsumers = 16;
constexpr int kTimeoutMs = 3000;

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
  const Machine two = deployment.Add("sidecar-b-1", "zone-b", "booking");
  store.Put(
    "config", "main", Config("shop.example", "key-3fexd9dnn2ctnfzs", { "booking" }, "unsafe"));
  deployment.StartNode(one);
  deployment.StartNode(two);
  Arrivals arrivals;
  Backend leaver(one, "i-7f3a91c2", 0.1, arrivals);
  Backend stayer(two, "i-02d9e6b4", 0.1, arrivals);
  if (!leaver.Start() || !stayer.Start() || !deployment.AwaitReady({ one, two }, 20)) {
    Finish(deployment, kCannotRun);
  }
  Sleep(3);
  Load load({ one, two }, "shop.example", "POST", "/booking/new", "key-3fexd9dnn2ctnfzs");
  load.Start(kPerSecond, kConsumers, kTimeoutMs);
  Sleep(3);
  if (trouble) {
    json odd = leaver.Announcement();
    odd["born"] = leaver.Born() * 1'000'000; // nanoseconds where milliseconds are due
    const Message answer = Call(one.Control(),
                                "POST",
                                "/api/instances/" + leaver.Id() + "/heartbeat",
                                "Host: x\r\nContent-Type: application/json\r\n",
                                odd.dump(),
                                1.0);
    gRecord.Say(
      "another writer leaves an odd ping, answered %d: %s", answer.Status(), odd.dump().c_str());
  }
  Sleep(4);
  const double ack = leaver.Drain();
  if (ack < 0) {
    Finish(deployment, kCannotRun);
  }
  Sleep(kServeOnS);
  leaver.Deregister();
  leaver.Exit();
  const double exit = Now();
  Sleep(4);
  load.Stop();

  int late = 0;
  double last = 0;
  for (const Arrival& it : arrivals.All()) {
    if (it.backend == leaver.Id() && it.at > ack + kDrainS) {
      ++late;
      last = it.at;
    }
  }
  int cut = 0;
  int served = 0;
  for (const Sent& it : load.All()) {
    served += it.status == 200 ? 1 : 0;
    cut += it.at > ack && (it.status == 502 || it.status == 504 || it.status == 0) ? 1 : 0;
  }
  gRecord.Say(
    "%s: %d requests reached %s later than 2 s after the ack, the last one %.1f s after it",
    late > 0 ? "DRAIN" : "held",
    late,
    leaver.Id().c_str(),
    late > 0 ? last - ack : 0.0);
  gRecord.Say("%d served; %d requests were cut or lost from the ack to %.1f s after the exit",
              served,
              cut,
              Now() - exit);
  if (served < 100) {
    Finish(deployment, kCannotRun);
  }
  Finish(deployment, late > 0 ? kBroken : kHeld);
}
