// Stand-ins for the scripts of the second review: the platform's store, back ends, a client, a link
// of a given rate, and a starter of mwsidecar processes. All of them use loopback addresses and the
// real clock.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace kit {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

inline const Clock::time_point kStart = Clock::now();

inline long long NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - kStart).count();
}

inline long long UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

inline void SleepMs(long long aMs)
{
  if (aMs > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
  }
}

inline void SleepUntil(long long aMs)
{
  SleepMs(aMs - NowMs());
}

/** True unless TROUBLE=0: the script then leaves the disruption out. */
inline bool Trouble()
{
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

/** record.txt: one line for each thing sent, answered or run. */
class Record
{
public:
  void Open(const std::string& aPath) { mFile.open(aPath, std::ios::trunc); }
  void Line(const std::string& aText)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mFile << NowMs() << " ms " << aText << std::endl;
  }

private:
  std::mutex mMutex;
  std::ofstream mFile;
};

inline Record gRecord;

// ---- sockets

struct Message
{
  std::string first; //!< request line or status line
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  std::string Get(const std::string& aName) const
  {
    for (const auto& [name, value] : headers) {
      if (strcasecmp(name.c_str(), aName.c_str()) == 0) {
        return value;
      }
    }
    return {};
  }
  int Status() const
  {
    const auto at = first.find(' ');
    return at == std::string::npos ? 0 : std::atoi(first.c_str() + at + 1);
  }
  std::string Method() const { return first.substr(0, first.find(' ')); }
  std::string Target() const
  {
    const auto begin = first.find(' ');
    const auto end = first.find(' ', begin + 1);
    return begin == std::string::npos ? std::string() : first.substr(begin + 1, end - begin - 1);
  }
};

inline sockaddr_in AddressOf(int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(aPort));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

/** Listens on a port; 0 picks a free one. @return the socket, or -1 */
inline int Listen(int& aPort)
{
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  sockaddr_in address = AddressOf(aPort);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      ::listen(fd, 512) != 0) {
    ::close(fd);
    return -1;
  }
  socklen_t size = sizeof(address);
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  aPort = ntohs(address.sin_port);
  return fd;
}

/** A port that is free now and was not handed out before. It lies below those that the kernel gives
 * to outgoing connections, so that none of them takes it before the node listens. */
inline int FreePort()
{
  constexpr int kFirst = 12'000;
  constexpr int kCount = 20'000;
  static int next = static_cast<int>(UnixMs() * 37 + ::getpid() * 101) % kCount;
  for (;;) {
    next = (std::abs(next) + 1) % kCount;
    int port = kFirst + next;
    const int fd = Listen(port);
    if (fd >= 0) {
      ::close(fd);
      return port;
    }
  }
}

inline std::string Text(int aPort)
{
  return "127.0.0.1:" + std::to_string(aPort);
}

/** Connects. @param aWindow bytes of the receive buffer; 0: the usual. @return the socket, or -1 */
inline int Dial(int aPort, int aWindow = 0)
{
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (aWindow != 0) {
    ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &aWindow, sizeof(aWindow));
  }
  const sockaddr_in address = AddressOf(aPort);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    ::close(fd);
    return -1;
  }
  const int one = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  return fd;
}

inline bool SendAll(int aFd, const std::string& aBytes)
{
  std::size_t done = 0;
  while (done < aBytes.size()) {
    const ssize_t n = ::send(aFd, aBytes.data() + done, aBytes.size() - done, MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR) {
      continue;
    }
    if (n <= 0) {
      return false;
    }
    done += static_cast<std::size_t>(n);
  }
  return true;
}

/** Reads whole HTTP messages from a socket. */
class Reader
{
public:
  explicit Reader(int aFd)
    : mFd(aFd)
  {
  }

  /** @return false at the end of the connection, an error, or after the time */
  bool Next(Message& aMessage, long long aUntilMs)
  {
    aMessage = {};
    std::size_t end = 0;
    while ((end = mBuf.find("\r\n\r\n")) == std::string::npos) {
      if (!More(aUntilMs)) {
        return false;
      }
    }
    ParseHead(mBuf.substr(0, end), aMessage);
    mBuf.erase(0, end + 4);
    const bool chunked = strcasecmp(aMessage.Get("Transfer-Encoding").c_str(), "chunked") == 0;
    const std::size_t length = std::strtoull(aMessage.Get("Content-Length").c_str(), nullptr, 10);
    if (chunked) {
      return ReadChunks(aMessage, aUntilMs);
    }
    while (mBuf.size() < length) {
      if (!More(aUntilMs)) {
        return false;
      }
    }
    aMessage.body = mBuf.substr(0, length);
    mBuf.erase(0, length);
    return true;
  }

  std::size_t HeldBytes() const { return mBuf.size(); }
  const char* WhyEnded() const { return mWhy; }

private:
  static void ParseHead(const std::string& aHead, Message& aMessage)
  {
    std::size_t at = aHead.find("\r\n");
    aMessage.first = aHead.substr(0, at);
    while (at != std::string::npos) {
      const std::size_t begin = at + 2;
      at = aHead.find("\r\n", begin);
      const std::string line = aHead.substr(begin, at == std::string::npos ? at : at - begin);
      const std::size_t colon = line.find(':');
      if (colon != std::string::npos) {
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        aMessage.headers.emplace_back(line.substr(0, colon),
                                      value == std::string::npos ? "" : line.substr(value));
      }
    }
  }

  bool ReadChunks(Message& aMessage, long long aUntilMs)
  {
    for (;;) {
      std::size_t end = 0;
      while ((end = mBuf.find("\r\n")) == std::string::npos) {
        if (!More(aUntilMs)) {
          return false;
        }
      }
      const std::size_t size = std::strtoull(mBuf.c_str(), nullptr, 16);
      while (mBuf.size() < end + 2 + size + 2) {
        if (!More(aUntilMs)) {
          return false;
        }
      }
      aMessage.body += mBuf.substr(end + 2, size);
      mBuf.erase(0, end + 2 + size + 2);
      if (size == 0) {
        return true;
      }
    }
  }

  bool More(long long aUntilMs)
  {
    for (;;) {
      const long long left = aUntilMs - NowMs();
      pollfd one{ mFd, POLLIN, 0 };
      const int ready = left > 0 ? ::poll(&one, 1, static_cast<int>(left)) : 0;
      if (ready < 0 && errno == EINTR) {
        continue;
      }
      if (ready <= 0) {
        mWhy = "no answer in time";
        return false;
      }
      char buf[65536];
      const ssize_t n = ::recv(mFd, buf, sizeof(buf), 0);
      if (n < 0 && errno == EINTR) {
        continue;
      }
      if (n <= 0) {
        mWhy = n == 0 ? "closed" : "reset";
        return false;
      }
      mBuf.append(buf, static_cast<std::size_t>(n));
      return true;
    }
  }

  const int mFd;
  std::string mBuf;
  const char* mWhy = "";
};

/** Sends one request on a new connection. @return the status, or 0 */
inline int CallOnce(int aPort,
                    const std::string& aBytes,
                    long long aWaitMs,
                    Message* aAnswer = nullptr)
{
  const int fd = Dial(aPort);
  if (fd < 0) {
    return 0;
  }
  Message answer;
  Reader reader(fd);
  const bool ok = SendAll(fd, aBytes) && reader.Next(answer, NowMs() + aWaitMs);
  ::close(fd);
  if (ok && aAnswer != nullptr) {
    *aAnswer = answer;
  }
  return ok ? answer.Status() : 0;
}

/** A server with a thread for each connection. */
class Server
{
public:
  using ConnectionFn = std::function<void(int aFd)>;

  virtual ~Server() { Stop(); }

  bool Start(ConnectionFn aOnConnection)
  {
    mListener = Listen(port);
    if (mListener < 0) {
      return false;
    }
    mRunning = true;
    mAcceptor = std::thread([this, aOnConnection] {
      while (mRunning) {
        pollfd one{ mListener, POLLIN, 0 };
        if (::poll(&one, 1, 50) <= 0) {
          continue;
        }
        const int fd = ::accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
          continue;
        }
        const int yes = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
        const std::lock_guard<std::mutex> lock(mMutex);
        mOpen.insert(fd);
        mThreads.emplace_back([this, aOnConnection, fd] {
          aOnConnection(fd);
          const std::lock_guard<std::mutex> inner(mMutex);
          mOpen.erase(fd);
          ::close(fd);
        });
      }
    });
    return true;
  }

  /** Ends as a process does that exits: the port is closed, connections break off. */
  void Stop()
  {
    if (!mRunning.exchange(false)) {
      return;
    }
    mAcceptor.join();
    ::close(mListener);
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      for (const int fd : mOpen) {
        ::shutdown(fd, SHUT_RDWR);
      }
    }
    OnStop();
    for (std::thread& it : mThreads) {
      it.join();
    }
    mThreads.clear();
  }

  bool IsRunning() const { return mRunning; }

  int port = 0;

protected:
  virtual void OnStop() {}

private:
  int mListener = -1;
  std::atomic<bool> mRunning{ false };
  std::thread mAcceptor;
  std::mutex mMutex;
  std::set<int> mOpen;
  std::vector<std::thread> mThreads;
};

// ---- the platform's store

class Store : public Server
{
public:
  ~Store() override { Stop(); }

  bool Begin()
  {
    return Start([this](int aFd) { Serve(aFd); });
  }

  /** What the operator writes. */
  void Put(const std::string& aKind, const std::string& aName, const json& aSpec)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    json& object = mObjects[aKind][aName];
    const bool fresh = object.is_null();
    object["spec"] = aSpec;
    Touch(aKind, aName, fresh);
  }

protected:
  void OnStop() override
  {
    // A watch that is about to wait must not miss it.
    const std::lock_guard<std::mutex> lock(mMutex);
    mChanged.notify_all();
  }

private:
  struct Event
  {
    std::uint64_t revision;
    std::string kind;
    json object;
    bool removed;
  };

  void Touch(const std::string& aKind, const std::string& aName, bool aFresh)
  {
    json& object = mObjects[aKind][aName];
    ++mRevision;
    object["metadata"]["name"] = aName;
    object["metadata"]["revision"] = mRevision;
    if (aFresh) {
      object["metadata"]["createRev"] = mRevision;
      object["status"] = json::object();
    }
    mEvents.push_back({ mRevision, aKind, object, false });
    mChanged.notify_all();
  }

  static std::string Answer(int aStatus, const json& aBody)
  {
    const std::string body = aBody.dump();
    return "HTTP/1.1 " + std::to_string(aStatus) +
           " X\r\nContent-Type: application/json\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  static std::map<std::string, std::string> QueryOf(const std::string& aTarget)
  {
    std::map<std::string, std::string> query;
    std::size_t at = aTarget.find('?');
    while (at != std::string::npos) {
      const std::size_t next = aTarget.find('&', at + 1);
      const std::string pair =
        aTarget.substr(at + 1, next == std::string::npos ? next : next - at - 1);
      query[pair.substr(0, pair.find('='))] = pair.substr(pair.find('=') + 1);
      at = next;
    }
    return query;
  }

  void Serve(int aFd)
  {
    Reader reader(aFd);
    Message request;
    while (IsRunning() && reader.Next(request, NowMs() + 120'000)) {
      SleepMs(4);
      if (!SendAll(aFd, Handle(request))) {
        return;
      }
    }
  }

  std::string Handle(const Message& aRequest)
  {
    const std::string target = aRequest.Target();
    const std::string prefix = "/api/objects/";
    const std::string path = target.substr(0, target.find('?'));
    if (path.rfind(prefix, 0) != 0) {
      return Answer(404, json::object());
    }
    std::string rest = path.substr(prefix.size());
    const std::size_t slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    std::string name = slash == std::string::npos ? std::string() : rest.substr(slash + 1);
    const bool isStatus = name.size() > 7 && name.rfind("/status") == name.size() - 7;
    if (isStatus) {
      name.resize(name.size() - 7);
    }
    auto query = QueryOf(target);
    std::unique_lock<std::mutex> lock(mMutex);
    const std::string method = aRequest.Method();
    if (method == "GET" && query.count("watch") != 0) {
      return Watch(lock, kind, query);
    }
    if (method == "GET") {
      return name.empty() ? List(kind) : One(kind, name);
    }
    const json body = aRequest.body.empty() ? json::object() : json::parse(aRequest.body);
    if (method == "POST") {
      name = body["metadata"]["name"];
      if (mObjects[kind].count(name) != 0) {
        return Answer(409, mObjects[kind][name]);
      }
      mObjects[kind][name]["spec"] = body.value("spec", json::object());
      Touch(kind, name, true);
      return Answer(201, mObjects[kind][name]);
    }
    if (mObjects[kind].count(name) == 0) {
      return Answer(404, json::object());
    }
    json& object = mObjects[kind][name];
    std::uint64_t revision = std::strtoull(query["revision"].c_str(), nullptr, 10);
    if (body.contains("metadata") && body["metadata"].contains("revision")) {
      revision = body["metadata"]["revision"];
    }
    if (revision != 0 && object["metadata"]["revision"] != revision) {
      return Answer(409, object);
    }
    if (method == "DELETE") {
      ++mRevision;
      const json gone = object;
      mObjects[kind].erase(name);
      mEvents.push_back({ mRevision, kind, gone, true });
      mChanged.notify_all();
      return Answer(200, gone);
    }
    const char* part = isStatus ? "status" : "spec";
    if (object[part] != body[part]) {
      object[part] = body[part];
      Touch(kind, name, false);
    }
    return Answer(200, mObjects[kind][name]);
  }

  std::string One(const std::string& aKind, const std::string& aName)
  {
    return mObjects[aKind].count(aName) != 0 ? Answer(200, mObjects[aKind][aName])
                                             : Answer(404, json::object());
  }

  std::string List(const std::string& aKind)
  {
    json items = json::array();
    for (const auto& [name, object] : mObjects[aKind]) {
      items.push_back(object);
    }
    return Answer(200, { { "items", items }, { "more", false }, { "at", mRevision } });
  }

  std::string Watch(std::unique_lock<std::mutex>& aLock,
                    const std::string& aKind,
                    std::map<std::string, std::string>& aQuery)
  {
    const std::uint64_t since = std::strtoull(aQuery["watch"].c_str(), nullptr, 10);
    const auto end = Clock::now() + std::chrono::milliseconds(std::atoi(aQuery["waitMs"].c_str()));
    json events = json::array();
    for (;;) {
      for (const Event& it : mEvents) {
        if (it.revision > since && it.kind == aKind) {
          events.push_back({ { "object", it.object }, { "removed", it.removed } });
        }
      }
      if (!events.empty() || !IsRunning() ||
          mChanged.wait_until(aLock, end) == std::cv_status::timeout) {
        return Answer(200, { { "events", events }, { "at", mRevision } });
      }
    }
  }

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::uint64_t mRevision = 100;
  std::map<std::string, std::map<std::string, json>> mObjects;
  std::vector<Event> mEvents;
};

// ---- back ends

struct Run
{
  long long atMs;
  std::string id;
  std::string line;
  std::size_t bodyBytes;
};

/** A sound back end: it runs requests, tells its node that it lives, and answers 421 for another
 * instance. */
class Backend : public Server
{
public:
  std::string id;
  std::string service;
  std::string zone = "zone-a";
  int control = 0; //!< port of the node beside it
  long long born = UnixMs();
  int slots = 7;
  int beatMs = 1'500;

  /** Time that a request takes; by default 50 ms. */
  std::function<long long(const Message&)> workMs = [](const Message&) { return 50LL; };

  /** Bytes of an answer; by default a short one. */
  std::size_t answerBytes = 0;

  bool Begin()
  {
    if (!Start([this](int aFd) { Serve(aFd); })) {
      return false;
    }
    mBeats = std::thread([this] {
      long long next = NowMs();
      while (IsRunning()) {
        if (NowMs() >= next) {
          Beat();
          next = NowMs() + beatMs;
        }
        SleepMs(20);
      }
    });
    return true;
  }

  ~Backend() override { End(); }

  void End()
  {
    Stop();
    if (mBeats.joinable()) {
      mBeats.join();
    }
  }

  /** @return whether the node acknowledged it */
  bool Beat()
  {
    const json body{
      { "address", Text(port) },
      { "born", born },
      { "info",
        { { "service", service }, { "version", "v1" }, { "zone", zone }, { "slots", slots } } },
      { "status",
        { { "state", draining ? "draining" : "ready" }, { "seq", ++mSeq }, { "warmupLeftMs", 0 } } }
    };
    return CallOnce(control, Post("/api/instances/" + id + "/heartbeat", body.dump()), 1'000) ==
           200;
  }

  std::vector<Run> Runs() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mRuns;
  }

  std::atomic<bool> draining{ false };

private:
  static std::string Post(const std::string& aPath, const std::string& aBody)
  {
    return "POST " + aPath +
           " HTTP/1.1\r\nHost: node\r\nContent-Type: application/json\r\nContent-Length: " +
           std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
  }

  void Serve(int aFd)
  {
    Reader reader(aFd);
    Message request;
    while (IsRunning() && reader.Next(request, NowMs() + 10'000)) {
      const std::string requestId = request.Get("X-Request-Id");
      std::string head = "X-Request-Id: " + requestId + "\r\nX-Instance-Id: " + id + "\r\n";
      if (request.Target() == "/healthz") {
        SendAll(aFd, "HTTP/1.1 200 OK\r\n" + head + "Content-Length: 0\r\n\r\n");
        continue;
      }
      const std::string expected = request.Get("X-Expected-Instance");
      if (!expected.empty() && expected != id) {
        gRecord.Line(id + " answers 421 to " + requestId);
        SendAll(aFd,
                "HTTP/1.1 421 Misdirected\r\n" + head +
                  "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      {
        const std::lock_guard<std::mutex> lock(mMutex);
        mRuns.push_back({ NowMs(), requestId, request.first, request.body.size() });
      }
      gRecord.Line(id + " of service " + service + " runs " + requestId + ": " + request.first +
                   ", body " + std::to_string(request.body.size()) + " bytes");
      const long long end = NowMs() + workMs(request);
      while (IsRunning() && NowMs() < end) {
        SleepMs(std::min(20LL, end - NowMs()));
      }
      if (!IsRunning()) {
        return;
      }
      std::string body = "done by " + id + "\n";
      body.resize(std::max(body.size(), answerBytes), 'a');
      gRecord.Line(id + " answers 200 to " + requestId);
      if (!SendAll(aFd,
                   "HTTP/1.1 200 OK\r\n" + head + "X-Response-Signature: sig-" + requestId +
                     "\r\nX-Instance-Load: 1,0," + std::to_string(slots) +
                     "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body)) {
        return;
      }
    }
  }

  mutable std::mutex mMutex;
  std::vector<Run> mRuns;
  std::atomic<int> mSeq{ 0 };
  std::thread mBeats;
};

// ---- a machine's link

/** Passes bytes on at the rate of a machine's link, both ways. */
class Link : public Server
{
public:
  ~Link() override { Stop(); }

  int target = 0;
  double megabitsPerSecond = 10;

  bool Begin()
  {
    return Start([this](int aFd) { Serve(aFd); });
  }

private:
  void Serve(int aFd)
  {
    const int other = Dial(target);
    if (other < 0) {
      return;
    }
    std::thread back([&] { Pump(other, aFd); });
    Pump(aFd, other);
    back.join();
    ::close(other);
  }

  void Pump(int aFrom, int aTo)
  {
    constexpr std::size_t kPiece = 8'192;
    const double perMs = megabitsPerSecond * 1'000'000 / 8 / 1'000;
    char buf[kPiece];
    double dueMs = static_cast<double>(NowMs());
    for (;;) {
      const ssize_t n = ::recv(aFrom, buf, sizeof(buf), 0);
      if (n <= 0 || !SendAll(aTo, std::string(buf, static_cast<std::size_t>(n)))) {
        break;
      }
      dueMs = std::max(dueMs, static_cast<double>(NowMs())) + static_cast<double>(n) / perMs;
      SleepUntil(static_cast<long long>(dueMs));
    }
    ::shutdown(aTo, SHUT_RDWR);
    ::shutdown(aFrom, SHUT_RDWR);
  }
};

// ---- nodes

/** A process of mwsidecar, started with the command of the deploy file and a rendered settings
 * file. */
class Node
{
public:
  std::string name;
  std::string zone = "zone-a";
  std::string service;
  int memoryMb = 160;
  int descriptors = 4'100;
  int graceS = 6;
  int link = FreePort();
  int advertised = 0; //!< of the link that stands before the node; 0: none
  int callers = FreePort();
  int readiness = FreePort();
  int control = FreePort();
  int metrics = FreePort();
  int store = 0;
  std::string folder;

  ~Node() { Kill(); }

  /** The file as the template of the deploy file gives it for a small deployment. */
  void WriteSettings() const
  {
    std::ofstream out(Path());
    out << "vm_name: \"" << name << "\"\nregion: \"region-1\"\nfailure_domain: \"" << zone
        << "\"\nservice: \"" << service << "\"\nlisten:\n  link: \"" << Text(link) << "\"\n";
    if (advertised != 0) {
      out << "  advertised_link: \"" << Text(advertised) << "\"\n";
    }
    out << "  callers: \"" << Text(callers) << "\"\n  readiness: \"" << Text(readiness)
        << "\"\n  control: \"" << Text(control) << "\"\n  metrics: \"" << Text(metrics)
        << "\"\nplatform: \"" << Text(store) << "\"\nstop_grace_s: " << graceS
        << "\nretries: { ratio: 0.2, slack: 62, window_s: 10 }\n"
           "cold: { bound_ratio: 1.5, bound_slack: 5 }\n"
           "rates: { slack: 20, overrun: 0.1, window_s: 5 }\n"
           "revocation: { bound_ms: 5000 }\n"
        << "resources: { memory_mb: " << memoryMb << ", descriptors: " << descriptors << " }\n";
  }

  bool Start()
  {
    WriteSettings();
    mPid = ::fork();
    if (mPid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL); // the process must not outlive the script
      ::setenv("MUSTARDWINCH_CONFIG", Path().c_str(), 1);
      rlimit limit{};
      ::getrlimit(RLIMIT_NOFILE, &limit);
      limit.rlim_cur = std::min<rlim_t>(limit.rlim_max, static_cast<rlim_t>(descriptors));
      ::setrlimit(RLIMIT_NOFILE, &limit); // of this process only, as the platform grants them
      const int log =
        ::open((folder + "/" + name + ".log").c_str(), O_CREAT | O_APPEND | O_WRONLY, 0644);
      ::dup2(log, STDOUT_FILENO);
      ::dup2(log, STDERR_FILENO);
      ::execl("target/mwsidecar", "target/mwsidecar", static_cast<char*>(nullptr));
      ::_exit(127);
    }
    gRecord.Line("node " + name + " started");
    return mPid > 0;
  }

  bool AwaitReady(long long aWaitMs = 15'000) const
  {
    const long long until = NowMs() + aWaitMs;
    while (NowMs() < until) {
      if (CallOnce(readiness, "GET /api/ready HTTP/1.1\r\nHost: node\r\n\r\n", 1'000) == 200) {
        return true;
      }
      SleepMs(100);
    }
    return false;
  }

  void Signal(int aSignal) const
  {
    if (mPid > 0) {
      ::kill(mPid, aSignal);
    }
  }

  /** Resident memory of the process, 0 if it has ended. */
  long ResidentKb() const
  {
    std::ifstream in("/proc/" + std::to_string(mPid) + "/status");
    std::string line;
    while (std::getline(in, line)) {
      if (line.rfind("VmRSS:", 0) == 0) {
        return std::atol(line.c_str() + 6);
      }
    }
    return 0;
  }

  /** @return whether the process has ended by itself or by a signal */
  bool HasEnded()
  {
    if (mPid > 0 && ::waitpid(mPid, nullptr, WNOHANG) == mPid) {
      mPid = -1;
    }
    return mPid <= 0;
  }

  void Kill()
  {
    if (mPid > 0) {
      ::kill(mPid, SIGKILL);
      ::waitpid(mPid, nullptr, 0);
      mPid = -1;
    }
  }

private:
  std::string Path() const { return folder + "/" + name + ".yaml"; }

  pid_t mPid = -1;
};

// ---- configuration

inline json Service(const std::string& aName)
{
  return { { "name", aName },         { "healthPath", "/healthz" },
           { "maxConnections", 390 }, { "protocol", "h1" },
           { "tls", false },          { "warmupS", 3.0 },
           { "warmupPerS", 43.0 } };
}

inline json Route(const std::string& aName,
                  const std::string& aKind,
                  const std::string& aPrefix,
                  const std::string& aService,
                  int aTimeoutMs)
{
  return { { "name", aName },
           { "kind", aKind },
           { "targetLatencyMs", 4'000 },
           { "priority", 1 },
           { "allowAnonymous", true },
           { "match", { { "pathPrefix", aPrefix } } },
           { "action",
             { { "service", aService }, { "timeoutMs", aTimeoutMs }, { "maxAttempts", 2 } } } };
}

inline json Config(int aVersion,
                   const std::vector<json>& aRoutes,
                   const std::vector<json>& aServices)
{
  return { { "version", "r" + std::to_string(aVersion) },
           { "limits",
             { { "maxHeaderBytes", 16'384 },
               { "maxBodyBytes", 67'108'864 },
               { "headerTimeoutMs", 3'000 },
               { "idleTimeoutMs", 15'000 } } },
           { "tenants", json::array() },
           { "listeners", { { { "host", "shop.example" }, { "rules", aRoutes } } } },
           { "clusters", aServices } };
}

inline std::string Request(const std::string& aMethod,
                           const std::string& aTarget,
                           const std::string& aId,
                           int aTimeoutMs,
                           const std::string& aBody = {})
{
  return aMethod + " " + aTarget + " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + aId +
         "\r\nX-Request-Timeout-Ms: " + std::to_string(aTimeoutMs) +
         "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

/** A folder of its own for settings and logs, which is removed at the end. */
class Folder
{
public:
  Folder()
  {
    char name[] = "/tmp/review-XXXXXX";
    path = ::mkdtemp(name);
  }
  ~Folder()
  {
    if (std::getenv("KEEP") == nullptr) {
      const std::string command = "rm -rf '" + path + "'";
      if (std::system(command.c_str()) != 0) {
        std::fprintf(stderr, "%s is left\n", path.c_str());
      }
    }
  }
  std::string path;
};

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

inline int CannotRun(const std::string& aWhy)
{
  gRecord.Line("could not run: " + aWhy);
  std::printf("could not run: %s\n", aWhy.c_str());
  return kCouldNotRun;
}

/** Prints and records the verdict. */
inline int Verdict(bool aBroken, const std::string& aText)
{
  const std::string line = std::string(aBroken ? "BROKEN: " : "held: ") + aText;
  gRecord.Line(line);
  std::printf("%s\n", line.c_str());
  return aBroken ? kBroken : kHeld;
}

} // namespace kit
