// Stand-ins and helpers of the review cases: a small deployment of real mwsidecar processes on
// loopback addresses, with a stand-in for the platform's store, for back ends and for consumers.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace kit {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

inline const Clock::time_point kStart = Clock::now();

/** Seconds since the start of the script. */
inline double Now()
{
  return std::chrono::duration<double>(Clock::now() - kStart).count();
}

inline std::int64_t UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

inline void Sleep(double aSeconds)
{
  std::this_thread::sleep_for(std::chrono::duration<double>(aSeconds));
}

inline void SleepUntil(double aTime)
{
  if (aTime > Now()) {
    Sleep(aTime - Now());
  }
}

/** The record of the run: one line for each event. */
class Record
{
public:
  void Open(const std::string& aPath) { mFile = std::fopen(aPath.c_str(), "w"); }

  void Line(const char* aFormat, ...) __attribute__((format(printf, 2, 3)))
  {
    char text[1024];
    va_list args;
    va_start(args, aFormat);
    std::vsnprintf(text, sizeof(text), aFormat, args);
    va_end(args);
    const std::lock_guard<std::mutex> lock(mMutex);
    std::fprintf(mFile, "%9.3f  %s\n", Now(), text);
  }

  /** A line that is printed as well. */
  void Say(const char* aFormat, ...) __attribute__((format(printf, 2, 3)))
  {
    char text[1024];
    va_list args;
    va_start(args, aFormat);
    std::vsnprintf(text, sizeof(text), aFormat, args);
    va_end(args);
    const std::lock_guard<std::mutex> lock(mMutex);
    std::fprintf(mFile, "%9.3f  %s\n", Now(), text);
    std::fflush(mFile);
    std::printf("%9.3f  %s\n", Now(), text);
    std::fflush(stdout);
  }

  void Close()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    std::fflush(mFile);
    std::fflush(stdout);
  }

private:
  std::mutex mMutex;
  FILE* mFile = stdout;
};

inline Record gRecord;

// ---- sockets and HTTP

struct Address
{
  std::string ip;
  int port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in ToSockaddr(const Address& aAddress)
{
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(aAddress.port));
  ::inet_pton(AF_INET, aAddress.ip.c_str(), &result.sin_addr);
  return result;
}

inline int ListenOn(const Address& aAddress)
{
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in where = ToSockaddr(aAddress);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&where), sizeof(where)) != 0 ||
      ::listen(fd, 512) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}

inline int Dial(const Address& aAddress)
{
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in where = ToSockaddr(aAddress);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&where), sizeof(where)) != 0) {
    ::close(fd);
    return -1;
  }
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

inline bool SendAll(int aFd, const std::string& aBytes)
{
  std::size_t at = 0;
  while (at < aBytes.size()) {
    const ssize_t n = ::send(aFd, aBytes.data() + at, aBytes.size() - at, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    at += static_cast<std::size_t>(n);
  }
  return true;
}

/** A request or an answer. */
struct Message
{
  std::string first;                          //!< request line or status line
  std::map<std::string, std::string> headers; //!< names in lower case
  std::string body;

  std::string Header(const std::string& aName) const
  {
    const auto it = headers.find(aName);
    return it != headers.end() ? it->second : std::string();
  }
  std::string Word(int aIndex) const
  {
    std::size_t begin = 0;
    for (int i = 0; i < aIndex; ++i) {
      begin = first.find(' ', begin);
      if (begin == std::string::npos) {
        return {};
      }
      ++begin;
    }
    return first.substr(begin, first.find(' ', begin) - begin);
  }
  int Status() const { return std::atoi(Word(1).c_str()); }
};

/** Reads messages with a Content-Length from a socket. */
class Reader
{
public:
  explicit Reader(int aFd)
    : mFd(aFd)
  {
  }

  /** Reads a head and leaves the body. False at the end, an error or the time limit (seconds). */
  bool ReadHead(Message& aMessage, double aLimit = 3600)
  {
    const double until = Now() + aLimit;
    std::size_t end = std::string::npos;
    while ((end = mInput.find("\r\n\r\n")) == std::string::npos) {
      if (!More(until)) {
        return false;
      }
    }
    aMessage = {};
    std::size_t at = mInput.find("\r\n");
    aMessage.first = mInput.substr(0, at);
    while (at < end) {
      const std::size_t begin = at + 2;
      at = mInput.find("\r\n", begin);
      const std::string line = mInput.substr(begin, at - begin);
      const std::size_t colon = line.find(':');
      std::string name = line.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(), ::tolower);
      std::size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') {
        ++value;
      }
      aMessage.headers[name] = value <= line.size() ? line.substr(value) : "";
    }
    mInput.erase(0, end + 4);
    return true;
  }

  /** Reads a whole message. False as with ReadHead(). */
  bool Read(Message& aMessage, double aLimit = 3600)
  {
    const double until = Now() + aLimit;
    if (!ReadHead(aMessage, aLimit)) {
      return false;
    }
    const std::size_t length = std::strtoul(aMessage.Header("content-length").c_str(), nullptr, 10);
    while (mInput.size() < length) {
      if (!More(until)) {
        return false;
      }
    }
    aMessage.body = mInput.substr(0, length);
    mInput.erase(0, length);
    return true;
  }

private:
  bool More(double aUntil)
  {
    const double left = aUntil - Now();
    pollfd what{ mFd, POLLIN, 0 };
    if (left <= 0 || ::poll(&what, 1, static_cast<int>(left * 1000) + 1) <= 0) {
      return false;
    }
    char buf[16384];
    const ssize_t n = ::recv(mFd, buf, sizeof(buf), 0);
    if (n <= 0) {
      return false;
    }
    mInput.append(buf, static_cast<std::size_t>(n));
    return true;
  }

  int mFd;
  std::string mInput;
};

/** A server with a thread for each connection. */
class Server
{
public:
  /** Serves one connection until it returns; the connection is closed then. */
  using ServeFn = std::function<void(int aFd)>;

  bool Start(const Address& aAddress, ServeFn aServe)
  {
    mFd = ListenOn(aAddress);
    if (mFd < 0) {
      return false;
    }
    mServe = std::move(aServe);
    mThread = std::thread([this] { Accept(); });
    return true;
  }

  /** Stops listening and cuts all connections, as the end of a process does. */
  void Stop()
  {
    if (mFd < 0) {
      return;
    }
    mStopped = true;
    ::shutdown(mFd, SHUT_RDWR);
    if (mThread.joinable()) {
      mThread.join();
    }
    ::close(mFd);
    mFd = -1;
    std::unique_lock<std::mutex> lock(mMutex);
    for (const int fd : mOpen) {
      ::shutdown(fd, SHUT_RDWR);
    }
    mChanged.wait_for(lock, std::chrono::seconds(5), [this] { return mOpen.empty(); });
  }

  ~Server() { Stop(); }

private:
  void Accept()
  {
    while (!mStopped) {
      const int fd = ::accept4(mFd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (mStopped) {
          return;
        }
        Sleep(0.01);
        continue;
      }
      const int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      {
        const std::lock_guard<std::mutex> lock(mMutex);
        mOpen.insert(fd);
      }
      std::thread([this, fd] {
        mServe(fd);
        const std::lock_guard<std::mutex> lock(mMutex);
        mOpen.erase(fd);
        ::close(fd);
        mChanged.notify_all();
      }).detach();
    }
  }

  int mFd = -1;
  ServeFn mServe;
  std::thread mThread;
  std::atomic<bool> mStopped{ false };
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::set<int> mOpen;
};

inline std::string FormatAnswer(int aStatus,
                                const std::string& aReason,
                                const std::string& aHeaders,
                                const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " " + aReason + "\r\n" + aHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

/** One call on a new connection. Status 0: no whole answer within the limit. */
inline Message Call(const Address& aAddress,
                    const std::string& aMethod,
                    const std::string& aTarget,
                    const std::string& aHeaders,
                    const std::string& aBody,
                    double aLimit)
{
  Message answer;
  answer.first = "none 0";
  const int fd = Dial(aAddress);
  if (fd < 0) {
    return answer;
  }
  const bool hasBody = !aBody.empty() || aMethod == "POST" || aMethod == "PUT";
  std::string bytes = aMethod + " " + aTarget + " HTTP/1.1\r\n" + aHeaders;
  if (hasBody) {
    bytes += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  bytes += "\r\n" + aBody;
  Message got;
  Reader reader(fd);
  if (SendAll(fd, bytes) && reader.Read(got, aLimit)) {
    answer = got;
  }
  ::close(fd);
  return answer;
}

// ---- the platform's store

/** The platform's metadata store: objects by kind and name, lists, watches, conditional writes. */
class Store
{
public:
  bool Start(const Address& aAddress)
  {
    return mServer.Start(aAddress, [this](int aFd) {
      Reader reader(aFd);
      Message request;
      while (reader.Read(request)) {
        if (!SendAll(aFd, Answer(request))) {
          return;
        }
      }
    });
  }

  /** A write of the operator. */
  void Put(const std::string& aKind, const std::string& aName, const json& aSpec)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    Write(aKind, aName, aSpec, json::array());
  }

private:
  struct Event
  {
    std::uint64_t revision;
    std::string kind;
    json object;
    bool removed;
  };

  static std::string Parameter(const std::string& aQuery, const std::string& aName)
  {
    const std::string text = "&" + aQuery;
    const std::size_t at = text.find("&" + aName + "=");
    if (at == std::string::npos) {
      return {};
    }
    const std::size_t begin = at + aName.size() + 2;
    return text.substr(begin, text.find('&', begin) - begin);
  }

  static std::string Form(int aStatus, const json& aBody)
  {
    return FormatAnswer(
      aStatus, aStatus < 300 ? "OK" : "No", "Content-Type: application/json\r\n", aBody.dump());
  }

  /** Under the lock. */
  json Write(const std::string& aKind,
             const std::string& aName,
             const json& aSpec,
             const json& aFinalizers)
  {
    auto& objects = mKinds[aKind];
    const auto it = objects.find(aName);
    if (it != objects.end() && it->second["spec"] == aSpec &&
        it->second["metadata"]["finalizers"] == aFinalizers) {
      return it->second;
    }
    ++mRevision;
    json object;
    object["metadata"] = {
      { "name", aName },
      { "revision", mRevision },
      { "createRev", it != objects.end() ? it->second["metadata"]["createRev"] : json(mRevision) },
      { "finalizers", aFinalizers },
      { "deleting", false }
    };
    object["spec"] = aSpec;
    object["status"] = nullptr;
    objects[aName] = object;
    mHistory.push_back({ mRevision, aKind, object, false });
    mChanged.notify_all();
    return object;
  }

  std::string Answer(const Message& aRequest)
  {
    const std::string target = aRequest.Word(1);
    const std::size_t mark = target.find('?');
    const std::string prefix = "/api/objects/";
    const std::string path = target.substr(0, mark);
    if (path.compare(0, prefix.size(), prefix) != 0) {
      return Form(404, json::object());
    }
    const std::string rest = path.substr(prefix.size());
    const std::string query = mark == std::string::npos ? "" : target.substr(mark + 1);
    const std::string kind = rest.substr(0, rest.find('/'));
    const std::string name = rest.size() > kind.size() ? rest.substr(kind.size() + 1) : "";
    const std::string method = aRequest.Word(0);
    std::unique_lock<std::mutex> lock(mMutex);
    if (method == "GET" && !name.empty()) {
      const auto it = mKinds[kind].find(name);
      return it != mKinds[kind].end() ? Form(200, it->second) : Form(404, json::object());
    }
    if (method == "GET" && Parameter(query, "watch").empty()) {
      json items = json::array();
      for (const auto& [one, object] : mKinds[kind]) {
        items.push_back(object);
      }
      return Form(200, { { "items", items }, { "more", false }, { "at", mRevision } });
    }
    if (method == "GET") {
      const std::uint64_t since = std::strtoull(Parameter(query, "watch").c_str(), nullptr, 10);
      const double until = Now() + std::atoi(Parameter(query, "waitMs").c_str()) / 1000.0;
      while (true) {
        json events = json::array();
        for (const Event& it : mHistory) {
          if (it.kind == kind && it.revision > since) {
            events.push_back({ { "removed", it.removed }, { "object", it.object } });
          }
        }
        if (!events.empty() || Now() >= until) {
          return Form(200, { { "events", events }, { "at", mRevision } });
        }
        mChanged.wait_for(lock, std::chrono::duration<double>(std::min(0.2, until - Now())));
      }
    }
    const json body =
      aRequest.body.empty() ? json::object() : json::parse(aRequest.body, nullptr, false);
    if (method == "POST") {
      const std::string fresh = body["metadata"]["name"];
      const auto it = mKinds[kind].find(fresh);
      if (it != mKinds[kind].end()) {
        return Form(409, it->second);
      }
      return Form(201, Write(kind, fresh, body.value("spec", json()), json::array()));
    }
    const auto it = mKinds[kind].find(name);
    if (it == mKinds[kind].end()) {
      return Form(404, json::object());
    }
    json wanted = method == "PUT" ? body["metadata"].value("revision", json()) : json();
    if (const std::string text = Parameter(query, "revision"); !text.empty()) {
      wanted = std::strtoull(text.c_str(), nullptr, 10);
    }
    if (!wanted.is_null() && wanted != it->second["metadata"]["revision"]) {
      return Form(409, it->second);
    }
    if (method == "PUT") {
      return Form(200, Write(kind, name, body.value("spec", json()), json::array()));
    }
    ++mRevision;
    mHistory.push_back({ mRevision, kind, it->second, true });
    mKinds[kind].erase(it);
    mChanged.notify_all();
    return Form(200, json::object());
  }

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::uint64_t mRevision = 1;
  std::map<std::string, std::map<std::string, json>> mKinds;
  std::vector<Event> mHistory;
  Server mServer;
};

// ---- machines

struct Machine
{
  std::string name;
  std::string zone;
  std::string service;
  std::string ip;

  Address App() const { return { ip, 8363 }; }
  Address Outbound() const { return { ip, 8365 }; }
  Address Control() const { return { ip, 8367 }; }
  Address Readiness() const { return { ip, 8369 }; }
};

/** The addresses, the temporary folder and the processes of one run. */
class Deployment
{
public:
  Deployment()
  {
    char folder[] = "/tmp/review-XXXXXX";
    if (::mkdtemp(folder) == nullptr) {
      std::exit(2);
    }
    mFolder = folder;
    for (int i = 0; i < 100; ++i) {
      const int draw = static_cast<int>(::getpid()) * 7 + i * 131;
      mNet =
        "127." + std::to_string(64 + draw % 60) + "." + std::to_string(1 + draw / 60 % 250) + ".";
      const int fd = ListenOn({ mNet + "1", 8362 });
      if (fd >= 0) {
        ::close(fd);
        break;
      }
    }
  }

  ~Deployment() { EndAll(); }

  /** Ends all processes that the run started. */
  void EndAll()
  {
    for (const auto& [name, pid] : mPids) {
      ::kill(pid, SIGKILL);
      ::waitpid(pid, nullptr, 0);
    }
    mPids.clear();
    std::error_code ec;
    std::filesystem::remove_all(mFolder, ec);
  }

  Address StoreAddress() const { return { mNet + "1", 8362 }; }

  Machine Add(const std::string& aName, const std::string& aZone, const std::string& aService)
  {
    return { aName, aZone, aService, mNet + std::to_string(10 + mCount++) };
  }

  /** Settings as deploy/node.yaml.tpl renders them, with the bounds of the sites' pages. */
  void StartNode(const Machine& aMachine)
  {
    const std::string path = mFolder + "/" + aMachine.name + ".yaml";
    std::ofstream file(path);
    file << "vm_name: \"" << aMachine.name << "\"\n"
         << "region: \"region-1\"\n"
         << "failure_domain: \"" << aMachine.zone << "\"\n"
         << "service: \"" << aMachine.service << "\"\n"
         << "listen:\n"
         << "  link: \"" << aMachine.ip << ":7780\"\n"
         << "  callers: \"" << aMachine.Outbound().Text() << "\"\n"
         << "  readiness: \"" << aMachine.Readiness().Text() << "\"\n"
         << "  control: \"" << aMachine.Control().Text() << "\"\n"
         << "  metrics: \"" << aMachine.ip << ":7795\"\n"
         << "platform: \"" << StoreAddress().Text() << "\"\n"
         << "stop_grace_s: 6\n"
         << "retries:\n  ratio: 0.2\n  slack: 62\n  window_s: 10\n"
         << "cold:\n  bound_ratio: 1.5\n  bound_slack: 5\n"
         << "rates:\n  slack: 20\n"
         << "revocation:\n  strict: false\n  bound_ms: 5000\n";
    file.close();
    const std::string log = mFolder + "/" + aMachine.name + ".log";
    const pid_t pid = ::fork();
    if (pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(out, 1);
      ::dup2(out, 2);
      ::setenv("MUSTARDWINCH_CONFIG", path.c_str(), 1);
      ::execl("target/mwsidecar", "target/mwsidecar", static_cast<char*>(nullptr));
      ::_exit(127);
    }
    mPids[aMachine.name] = pid;
    gRecord.Line("machine %s: process %d starts", aMachine.name.c_str(), static_cast<int>(pid));
  }

  /** SIGTERM, and SIGKILL after the grace, as the platform does it. */
  void StopNode(const Machine& aMachine)
  {
    const pid_t pid = mPids[aMachine.name];
    gRecord.Say("machine %s: SIGTERM", aMachine.name.c_str());
    ::kill(pid, SIGTERM);
    const double until = Now() + 6;
    int status = 0;
    while (::waitpid(pid, &status, WNOHANG) == 0) {
      if (Now() > until) {
        ::kill(pid, SIGKILL);
        ::waitpid(pid, &status, 0);
        break;
      }
      Sleep(0.02);
    }
    mPids.erase(aMachine.name);
    gRecord.Say("machine %s: the process has ended", aMachine.name.c_str());
  }

  bool IsReady(const Machine& aMachine) const
  {
    return Call(aMachine.Readiness(), "GET", "/api/ready", "Host: x\r\n", "", 1.0).Status() == 200;
  }

  /** False if not all are ready within the limit. */
  bool AwaitReady(const std::vector<Machine>& aMachines, double aLimit) const
  {
    const double until = Now() + aLimit;
    for (const Machine& it : aMachines) {
      while (!IsReady(it)) {
        if (Now() > until) {
          gRecord.Say("machine %s does not become ready", it.name.c_str());
          return false;
        }
        Sleep(0.1);
      }
    }
    return true;
  }

  std::string Metric(const Machine& aMachine, const std::string& aName) const
  {
    const Message answer = Call({ aMachine.ip, 7795 }, "GET", "/metrics", "Host: x\r\n", "", 1.0);
    const std::size_t at = ("\n" + answer.body).find("\n" + aName + " ");
    if (at == std::string::npos) {
      return "?";
    }
    const std::size_t begin = at + aName.size() + 1;
    return answer.body.substr(begin, answer.body.find('\n', begin) - begin);
  }

private:
  std::string mFolder;
  std::string mNet;
  int mCount = 0;
  std::map<std::string, pid_t> mPids;
};

// ---- back ends

/** One run or rejection of a request, as a back end saw it. */
struct Arrival
{
  double at = 0;
  std::string id;
  std::string backend;
  bool ran = false;
};

/** What the back ends of a run saw. */
class Arrivals
{
public:
  void Add(Arrival aArrival)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mAll.push_back(std::move(aArrival));
  }
  std::vector<Arrival> All() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mAll;
  }

private:
  mutable std::mutex mMutex;
  std::vector<Arrival> mAll;
};

/**
 * A back end beside a sidecar, as PROTOCOL.md describes it: runs as many requests as it has slots
 * and queues a few more, rejects the rest with X-Not-Executed, checks X-Expected-Instance, echoes
 * X-Request-Id, signs its answers, and announces itself each 1.5 s.
 */
class Backend
{
public:
  /** Called for each request before it is handled, on the thread of its connection. False: the
   * connection is closed and the request is not run. */
  using BeforeFn = std::function<bool(Backend&, int aFd, const Message& aRequest, int aNumber)>;
  /** True: this request is rejected, as by a gray back end. */
  using RejectFn = std::function<bool(Backend&, const Message& aRequest, int aNumber)>;
  /** Called after an answer was sent. */
  using AfterFn = std::function<
    void(Backend&, int aFd, const Message& aRequest, int aNumber, const std::string& aAnswer)>;

  Backend(Machine aMachine, std::string aId, double aWork, Arrivals& aArrivals)
    : mMachine(std::move(aMachine))
    , mId(std::move(aId))
    , mWork(aWork)
    , mArrivals(aArrivals)
  {
  }
  ~Backend() { Exit(); }

  bool Start()
  {
    mBorn = UnixMs();
    mSequence = 0;
    mEnded = false;
    mServer = std::make_unique<Server>();
    if (!mServer->Start(mMachine.App(), [this](int aFd) { Serve(aFd); })) {
      return false;
    }
    gRecord.Line("back end %s (%s) starts, born %lld",
                 mId.c_str(),
                 mMachine.name.c_str(),
                 static_cast<long long>(mBorn));
    mPings = std::thread([this] {
      while (!mEnded) {
        Ping();
        for (int i = 0; i < 15 && !mEnded; ++i) {
          Sleep(0.1);
        }
      }
    });
    return true;
  }

  /** One announcement. @return the status of the answer */
  int Ping()
  {
    const std::lock_guard<std::mutex> lock(mPingMutex);
    const json body = Announcement();
    const Message answer = Call(mMachine.Control(),
                                "POST",
                                "/api/instances/" + mId + "/heartbeat",
                                "Host: x\r\nContent-Type: application/json\r\n",
                                body.dump(),
                                1.0);
    gRecord.Line("back end %s says %s (seq %llu): %d",
                 mId.c_str(),
                 mState.c_str(),
                 static_cast<unsigned long long>(mSequence),
                 answer.Status());
    return answer.Status();
  }

  void Exit()
  {
    if (mEnded.exchange(true)) {
      return;
    }
    if (mPings.joinable()) {
      mPings.join();
    }
    mServer->Stop();
    gRecord.Say("back end %s has exited", mId.c_str());
  }

  json Announcement()
  {
    ++mSequence;
    return { { "address", mMachine.App().Text() },
             { "born", mBorn },
             { "info",
               { { "service", mMachine.service },
                 { "version", "v1" },
                 { "zone", mMachine.zone },
                 { "slots", kSlots } } },
             { "status", { { "state", mState }, { "seq", mSequence }, { "warmupLeftMs", 0 } } } };
  }

  const std::string& Id() const { return mId; }
  const Machine& Where() const { return mMachine; }
  std::int64_t Born() const { return mBorn; }

  /** Wire form of an answer of this back end. */
  std::string Form(int aStatus,
                   const std::string& aRequestId,
                   const std::string& aMore,
                   const std::string& aBody) const
  {
    const std::string reason = aStatus == 200   ? "OK"
                               : aStatus == 421 ? "Misdirected Request"
                                                : "Service Unavailable";
    return FormatAnswer(aStatus,
                        reason,
                        "X-Request-Id: " + aRequestId + "\r\nX-Instance-Load: " +
                          std::to_string(mRunning) + "," + std::to_string(mQueued) + "," +
                          std::to_string(kSlots) + "\r\nKeep-Alive: timeout=5\r\n" + aMore,
                        aBody);
  }

  static std::string SignedHeaders(const std::string& aRequestId)
  {
    return "X-Response-Signature: sig-" + aRequestId + "\r\n";
  }

  /** Answers a request whose head has been read, but not its body. The connection is closed then.
   */
  using EarlyFn = std::function<void(Backend&, int aFd, const Message& aHead)>;

  /** The body of a success; by default a line with the id. */
  std::function<std::string(const Message& aRequest)> answerBody;

  EarlyFn early;
  BeforeFn before;
  RejectFn reject;
  AfterFn after;

  static constexpr int kSlots = 7;
  static constexpr int kQueue = 3;

private:
  void Serve(int aFd)
  {
    Reader reader(aFd);
    Message request;
    if (early) {
      if (reader.ReadHead(request)) {
        mArrivals.Add({ Now(), request.Header("x-request-id"), mId, true });
        early(*this, aFd, request);
      }
      return;
    }
    while (!mEnded && reader.Read(request)) {
      if (!Handle(aFd, request)) {
        return;
      }
    }
  }

  bool Handle(int aFd, const Message& aRequest)
  {
    const std::string id = aRequest.Header("x-request-id");
    const int number = ++mCount;
    if (before && !before(*this, aFd, aRequest, number)) {
      mArrivals.Add({ Now(), id, mId, false });
      return false;
    }
    if (id.empty()) {
      return SendAll(aFd, Form(400, id, "X-Not-Executed: 1\r\n", ""));
    }
    if (!aRequest.Header("x-expected-instance").empty() &&
        aRequest.Header("x-expected-instance") != mId) {
      gRecord.Line(
        "back end %s: request %s expects another instance: 421", mId.c_str(), id.c_str());
      return SendAll(aFd, Form(421, id, "X-Instance-Id: " + mId + "\r\n", ""));
    }
    std::string answer;
    if ((reject && reject(*this, aRequest, number)) || !TakeSlot()) {
      mArrivals.Add({ Now(), id, mId, false });
      gRecord.Line(
        "back end %s: request %s arrives and is rejected, not run", mId.c_str(), id.c_str());
      answer = Form(503, id, "X-Not-Executed: 1\r\n", "");
    } else {
      mArrivals.Add({ Now(), id, mId, true });
      gRecord.Line("back end %s: request %s arrives and runs", mId.c_str(), id.c_str());
      Sleep(mWork);
      ReturnSlot();
      answer =
        Form(200, id, SignedHeaders(id), answerBody ? answerBody(aRequest) : "done " + id + "\n");
    }
    const bool sent = SendAll(aFd, answer);
    if (sent && after) {
      after(*this, aFd, aRequest, number, answer);
    }
    return sent;
  }

  bool TakeSlot()
  {
    std::unique_lock<std::mutex> lock(mMutex);
    if (mRunning >= kSlots && mQueued >= kQueue) {
      return false;
    }
    ++mQueued;
    mFree.wait(lock, [this] { return mRunning < kSlots; });
    --mQueued;
    ++mRunning;
    return true;
  }

  void ReturnSlot()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    --mRunning;
    mFree.notify_one();
  }

  const Machine mMachine;
  const std::string mId;
  const double mWork;
  Arrivals& mArrivals;
  std::unique_ptr<Server> mServer;
  std::thread mPings;
  std::mutex mPingMutex;
  std::atomic<bool> mEnded{ true };
  const std::string mState = "ready";
  std::int64_t mBorn = 0;
  std::uint64_t mSequence = 0;
  std::mutex mMutex;
  std::condition_variable mFree;
  std::atomic<int> mRunning{ 0 };
  std::atomic<int> mQueued{ 0 };
  std::atomic<int> mCount{ 0 };
};

// ---- consumers

struct Sent
{
  double at = 0;
  double answeredAt = 0;
  std::string id;
  int status = 0; //!< 0: no answer
  std::string body;
};

/** Requests of consumers, sent at a steady rate on kept connections, without retries. */
class Load
{
public:
  Load(std::vector<Machine> aFrom,
       std::string aHost,
       std::string aMethod,
       std::string aPath,
       std::string aKey,
       std::string aTag = "c")
    : mFrom(std::move(aFrom))
    , mHost(std::move(aHost))
    , mMethod(std::move(aMethod))
    , mPath(std::move(aPath))
    , mKey(std::move(aKey))
    , mTag(std::move(aTag))
  {
  }

  /** Sends aPerSecond requests a second with aConsumers consumers until Stop(). */
  void Start(double aPerSecond, int aConsumers, int aTimeoutMs)
  {
    mRunning = true;
    for (int i = 0; i < aConsumers; ++i) {
      mThreads.emplace_back([this, i, aPerSecond, aConsumers, aTimeoutMs] {
        Run(i, aPerSecond / aConsumers, aTimeoutMs);
      });
    }
  }

  void Stop()
  {
    mRunning = false;
    for (std::thread& it : mThreads) {
      it.join();
    }
    mThreads.clear();
  }

  ~Load() { Stop(); }

  std::vector<Sent> All() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mAll;
  }

private:
  void Run(int aNumber, double aPerSecond, int aTimeoutMs)
  {
    int fd = -1;
    std::unique_ptr<Reader> reader;
    const Machine& machine = mFrom[static_cast<std::size_t>(aNumber) % mFrom.size()];
    double next = Now() + (aNumber % 16) / aPerSecond / 16;
    for (int n = 0; mRunning; ++n) {
      SleepUntil(next);
      next = std::max(next + 1 / aPerSecond, Now() - 0.5);
      if (fd < 0) {
        fd = Dial(machine.Outbound());
        reader = std::make_unique<Reader>(fd);
      }
      char id[64];
      std::snprintf(id, sizeof(id), "%s-%03d-%05d", mTag.c_str(), aNumber, n);
      Sent sent;
      sent.at = Now();
      sent.id = id;
      const std::string body = mMethod == "GET" ? "" : "order " + sent.id;
      std::string bytes = mMethod + " " + mPath + " HTTP/1.1\r\nHost: " + mHost +
                          "\r\nX-Request-Id: " + sent.id +
                          "\r\nX-Request-Timeout-Ms: " + std::to_string(aTimeoutMs) +
                          "\r\nX-Api-Key: " + mKey + "\r\n";
      if (!body.empty()) {
        bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
      }
      bytes += "\r\n" + body;
      Message answer;
      const bool ok =
        fd >= 0 && SendAll(fd, bytes) && reader->Read(answer, aTimeoutMs / 1000.0 + 1);
      sent.answeredAt = Now();
      sent.status = ok ? answer.Status() : 0;
      sent.body = answer.body;
      gRecord.Line("consumer at %s: request %s sent at %.3f, answered %d",
                   machine.name.c_str(),
                   sent.id.c_str(),
                   sent.at,
                   sent.status);
      if (!ok || answer.Header("connection") == "close") {
        ::close(fd);
        fd = -1;
      }
      const std::lock_guard<std::mutex> lock(mMutex);
      mAll.push_back(sent);
    }
    if (fd >= 0) {
      ::close(fd);
    }
  }

  const std::vector<Machine> mFrom;
  const std::string mHost;
  const std::string mMethod;
  const std::string mPath;
  const std::string mKey;
  const std::string mTag; //!< begins the ids of the requests
  std::atomic<bool> mRunning{ false };
  std::vector<std::thread> mThreads;
  mutable std::mutex mMutex;
  std::vector<Sent> mAll;
};

/**
 * Rule FLOOR: for 2 s some, but less than aFloorShare, of the sound back ends get requests, while
 * more than a tenth of the requests, but under half, are not served. All back ends are sound and
 * the store is calm from aBegin to aEnd.
 */
inline bool FloorBroken(const std::vector<Sent>& aSent,
                        const std::vector<Arrival>& aArrivals,
                        double aBegin,
                        double aEnd,
                        std::size_t aBackends,
                        double aFloorShare)
{
  constexpr double kWindow = 2;
  int broken = 0;
  int windows = 0;
  for (double at = aBegin; at + kWindow <= aEnd; at += 0.25) {
    std::set<std::string> used;
    for (const Arrival& it : aArrivals) {
      if (it.at >= at && it.at < at + kWindow) {
        used.insert(it.backend);
      }
    }
    int all = 0;
    int unserved = 0;
    for (const Sent& it : aSent) {
      if (it.at >= at && it.at < at + kWindow) {
        ++all;
        unserved += it.status == 200 ? 0 : 1;
      }
    }
    ++windows;
    const double usedShare = static_cast<double>(used.size()) / static_cast<double>(aBackends);
    const double unservedShare = all > 0 ? static_cast<double>(unserved) / all : 0;
    const bool bad =
      !used.empty() && usedShare < aFloorShare && unservedShare > 0.1 && unservedShare < 0.5;
    broken += bad ? 1 : 0;
    gRecord.Line(
      "2 s from %.2f: %zu of %zu sound back ends got requests, %d of %d requests not served%s",
      at,
      used.size(),
      aBackends,
      unserved,
      all,
      bad ? ": FLOOR" : "");
  }
  gRecord.Say("FLOOR: broken in %d of %d windows of 2 s", broken, windows);
  return broken != 0;
}

/** A configuration as on the page, with one tenant and one route for each service. */
inline json Config(const std::string& aHost,
                   const std::string& aKey,
                   const std::vector<std::string>& aServices,
                   const std::string& aKind,
                   double aWarmupPerS = 43)
{
  json rules = json::array();
  json clusters = json::array();
  for (const std::string& it : aServices) {
    rules.push_back(
      { { "name", "r-" + it },
        { "kind", aKind },
        { "targetLatencyMs", 1500 },
        { "priority", 1 },
        { "allowAnonymous", false },
        { "match", { { "pathPrefix", "/" + it + "/" } } },
        { "action", { { "service", it }, { "timeoutMs", 3000 }, { "maxAttempts", 2 } } } });
    clusters.push_back({ { "name", it },
                         { "healthPath", "/healthz" },
                         { "maxConnections", 390 },
                         { "protocol", "h1" },
                         { "tls", false },
                         { "warmupS", 3.0 },
                         { "warmupPerS", aWarmupPerS } });
  }
  return { { "version", "r7" },
           { "limits",
             { { "maxHeaderBytes", 16384 },
               { "maxBodyBytes", 67108864 },
               { "headerTimeoutMs", 3000 },
               { "idleTimeoutMs", 15000 } } },
           { "tenants",
             json::array(
               { { { "name", "tenant-1" }, { "apiKeys", { aKey } }, { "priority", 1 } } }) },
           { "listeners", json::array({ { { "host", aHost }, { "rules", rules } } }) },
           { "clusters", clusters } };
}

inline bool TroubleWanted()
{
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

/** Exit codes of a case. */
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

/** Ends the run: its processes first, then this one, with all its threads. */
[[noreturn]] inline void Finish(Deployment& aDeployment, int aCode)
{
  aDeployment.EndAll();
  gRecord.Close();
  std::_Exit(aCode);
}

/** Opens the record and checks that the program stands. */
inline void Begin(int argc, char** argv)
{
  if (argc != 2 || ::access("target/mwsidecar", X_OK) != 0) {
    std::fprintf(
      stderr, "run from the root of the repository after the build; the argument is the record\n");
    std::exit(kCannotRun);
  }
  gRecord.Open(argv[1]);
  gRecord.Say("trouble: %s", TroubleWanted() ? "yes" : "no");
}

} // namespace kit
