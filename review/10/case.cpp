// The three nodes of a zone are stopped together by SIGTERM. Callers go on sending, as the platform
// lets them. A request that a stopping node takes later than three seconds after the signal must be
// answered.
#include "../kit-2.h"

using namespace kit;

namespace {

constexpr int kNodes = 8;
constexpr int kStopped = 3;
constexpr int kTimeoutMs = 12'000;
constexpr long long kWorkMs = 2'700;
constexpr long long kFirstMs = 2'900; //!< after the signal
constexpr long long kLastMs = 3'250;
constexpr long long kGapMs = 10;
constexpr long long kExcusedMs =
  3'000; //!< requests sent until then may be cut in the last sixth of graceS

struct Sent
{
  std::string id;
  long long afterMs = 0; //!< after the signal
  int status = 0;
  std::string why;
  bool isSigned = false;
  long long endMs = 0;
};

} // namespace

int main(int, char** aArguments)
{
  gRecord.Open(aArguments[1]);
  const Folder folder;
  Store store;
  store.Begin();
  store.Put("config",
            "main",
            Config(1,
                   { Route("book", "unsafe", "/book/", "booking", kTimeoutMs) },
                   { Service("booking") }));
  Node nodes[kNodes];
  Backend backends[kNodes];
  for (int i = 0; i < kNodes; ++i) {
    nodes[i].name = "node-" + std::to_string(i + 1);
    nodes[i].zone = i < kStopped ? "zone-a" : "zone-b";
    nodes[i].service = "booking";
    nodes[i].store = store.port;
    nodes[i].folder = folder.path;
    backends[i].id = "i-" + std::to_string(i + 1);
    backends[i].service = "booking";
    backends[i].zone = nodes[i].zone;
    backends[i].control = nodes[i].control;
    backends[i].slots = 10;
    backends[i].workMs = [](const Message& aRequest) {
      return aRequest.Target() == "/book/calm" ? 50 : kWorkMs;
    };
    nodes[i].Start();
    backends[i].Begin();
    SleepMs(33); // machines start within 0.3 s of each other
  }
  for (const Node& it : nodes) {
    if (!it.AwaitReady()) {
      return CannotRun("the nodes are not ready");
    }
  }
  SleepMs(5'000); // beyond contactMs
  for (int i = 0; i < kStopped; ++i) {
    if (CallOnce(nodes[i].callers,
                 Request("POST", "/book/calm", "calm-" + std::to_string(i), kTimeoutMs),
                 5'000) != 200) {
      return CannotRun("a request in calm was not served");
    }
  }
  if (Trouble()) {
    for (int i = 0; i < kStopped; ++i) {
      nodes[i].Signal(SIGTERM);
    }
    gRecord.Line("SIGTERM to the nodes of zone-a");
  }
  const long long stopAt = NowMs();
  std::thread reaper([&] { // the platform: SIGKILL after graceS
    SleepUntil(stopAt + nodes[0].graceS * 1'000);
    if (Trouble()) {
      for (int i = 0; i < kStopped; ++i) {
        nodes[i].Kill();
      }
    }
  });
  std::mutex mutex;
  std::vector<Sent> sent;
  std::vector<std::thread> callers;
  int n = 0;
  for (long long at = kFirstMs; at <= kLastMs; at += kGapMs) {
    SleepUntil(stopAt + at);
    for (int i = 0; i < kStopped; ++i) {
      ++n;
      callers.emplace_back([&, n, i] {
        const Node& node = nodes[i];
        Sent one;
        one.id = "book-" + std::to_string(n);
        const int fd = Dial(node.callers);
        one.afterMs = NowMs() - stopAt;
        Reader reader(fd);
        Message answer;
        const bool ok = SendAll(fd, Request("POST", "/book/x", one.id, kTimeoutMs)) &&
                        reader.Next(answer, NowMs() + kTimeoutMs);
        one.status = ok ? answer.Status() : 0;
        one.why = ok ? answer.body.substr(0, 40) : reader.WhyEnded();
        one.isSigned = !answer.Get("X-Response-Signature").empty();
        one.endMs = NowMs() - stopAt;
        ::close(fd);
        const std::lock_guard<std::mutex> lock(mutex);
        sent.push_back(one);
      });
    }
  }
  for (std::thread& it : callers) {
    it.join();
  }
  reaper.join();
  std::set<std::string> ran;
  for (const Backend& it : backends) {
    for (const Run& run : it.Runs()) {
      ran.insert(run.id);
    }
  }
  int answered = 0;
  int refused = 0;
  int excused = 0;
  int broken = 0;
  for (const Sent& it : sent) {
    gRecord.Line(it.id + " sent " + std::to_string(it.afterMs) + " ms after the signal -> " +
                 std::to_string(it.status) + " after " + std::to_string(it.endMs) +
                 " ms: " + it.why + (ran.count(it.id) != 0 ? " (was run)" : " (was not run)"));
    if (it.isSigned) {
      ++answered;
    } else if (ran.count(it.id) == 0) {
      ++refused;
    } else if (it.afterMs <= kExcusedMs) {
      ++excused;
    } else {
      ++broken;
    }
  }
  for (Backend& it : backends) {
    it.End();
  }
  return Verdict(broken != 0,
                 std::to_string(answered) + " answered, " + std::to_string(refused) +
                   " refused and not run, " + std::to_string(excused) +
                   " broken off that were sent within 3 s of the signal, " +
                   std::to_string(broken) + " broken off that were sent later");
}
