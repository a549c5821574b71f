#include "membership/FleetAgent.h"

#include "config/ConfigStore.h"
#include "membership/FleetCore.h"
#include "membership/PlatformWatcher.h"
#include "mustardwinch/Event.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <atomic>
#include <condition_variable>
#include <future>
#include <map>
#include <mutex>
#include <random>
#include <string_view>
#include <thread>
#include <utility>

namespace mustardwinch {
namespace {

using boost::asio::ip::udp;

constexpr Milliseconds kTickPeriod{ 100 };
constexpr Milliseconds kPullTimeout{ 5'000 };
constexpr Milliseconds kLeaveTimeout{ 1'000 };
/** Size of the IP and UDP headers. */
constexpr std::uint64_t kHeaderBytes = 28;
/** Receive buffer size; a longer datagram is truncated and then fails to decode. */
constexpr std::size_t kReceiveBytes = 2'048;
constexpr int kSocketBufferBytes = 1'048'576;

udp::endpoint EndpointOf(const Address& aAddress)
{
  return { boost::asio::ip::address_v4(aAddress.ip), aAddress.port };
}

Address AddressOf(const udp::endpoint& aEndpoint)
{
  return { aEndpoint.address().to_v4().to_uint(), aEndpoint.port() };
}

std::uint64_t RandomSeed(std::uint64_t aSeed)
{
  if (aSeed != 0) {
    return aSeed;
  }
  std::random_device device;
  return (std::uint64_t(device()) << 32) | device();
}

} // namespace

class FleetAgent::Impl : public std::enable_shared_from_this<FleetAgent::Impl>
{
public:
  Impl(Options aOptions,
       Parts aParts,
       PlatformReader aReader,
       ResourceParser aParser,
       UpstreamsFn aUpstreams)
    : mOptions(std::move(aOptions))
    , mParts(aParts)
    , mUpstreams(std::move(aUpstreams))
    , mSocket(mContext)
    , mTimer(mContext)
    , mCore({ mOptions.self, mOptions.seeds, RandomSeed(mOptions.randomSeed) })
    , mConfigStore(aParts.config, std::move(aParser))
    , mWatcher(
        aParts.clock,
        std::move(aReader),
        mOptions.kinds,
        [this](PlatformChanges aChanges, bool aIsList, TimePoint aSentAt) {
          OnPlatform(std::move(aChanges), aIsList, aSentAt);
        },
        RandomSeed(mOptions.randomSeed))
  {
    mView.self = mOptions.self;
    mView.live = { mOptions.self };
  }

  bool Bind()
  {
    boost::system::error_code ec;
    mSocket.open(udp::v4(), ec);
    if (!ec) {
      mSocket.bind(EndpointOf(mOptions.self.link), ec);
    }
    if (ec) {
      LogEvent(LogLevel::kError,
               Event::kListenFailed,
               { { "address", mOptions.self.link.ToString() }, { "detail", ec.message() } });
      return false;
    }
    mSocket.non_blocking(true, ec);
    mSocket.set_option(boost::asio::socket_base::receive_buffer_size(kSocketBufferBytes), ec);
    mParts.links.OnRequest(
      PeerMessage::kRecordsPull,
      [weak = weak_from_this()](const Address&, std::string aPayload, PeerLinks::ReplyFn aReply) {
        // The links may outlive this agent.
        if (const auto self = weak.lock()) {
          self->AnswerPull(std::move(aPayload), std::move(aReply));
        } else {
          aReply(ResultCode::kNodeStopping);
        }
      });
    return true;
  }

  void Start()
  {
    Receive();
    Tick();
    mCoreThread = std::thread([this] { mContext.run(); });
    mWatchThread = std::thread([this] { Watch(); });
  }

  void Stop()
  {
    {
      std::lock_guard lock(mStopMutex);
      mStopping = true;
    }
    mStopCondition.notify_all();
    if (mWatchThread.joinable()) {
      mWatchThread.join();
    }
    mContext.stop();
    if (mCoreThread.joinable()) {
      mCoreThread.join();
    }
  }

  void Leave()
  {
    if (!mCoreThread.joinable()) {
      return;
    }
    auto done = std::make_shared<std::promise<void>>();
    std::future<void> sent = done->get_future();
    boost::asio::post(mContext, [this, done] {
      mCore.Leave(mParts.clock.Now());
      Flush();
      done->set_value();
    });
    sent.wait_for(kLeaveTimeout);
  }

  void PublishSoon()
  {
    boost::asio::post(mContext, [this] {
      Publish();
      Flush();
    });
  }

  void OnMemberChange(MemberFn aCallback) { mMemberCallbacks.push_back(std::move(aCallback)); }

  void OnObject(std::string aKind, ObjectFn aCallback)
  {
    mObjectCallbacks.emplace(std::move(aKind), std::move(aCallback));
  }

  Freshness Current() const
  {
    const TimePoint now = mParts.clock.Now();
    std::lock_guard lock(mViewMutex);
    return mView.freshness.At(now);
  }

  std::vector<VmIdentity> LiveMembers() const
  {
    std::lock_guard lock(mViewMutex);
    return mView.live;
  }

  VmIdentity Self() const
  {
    std::lock_guard lock(mViewMutex);
    return mView.self;
  }

  InForceReport InForce()
  {
    auto report = std::make_shared<std::promise<InForceReport>>();
    std::future<InForceReport> made = report->get_future();
    boost::asio::post(mContext, [this, report] { report->set_value(MakeReport()); });
    if (made.wait_for(kLeaveTimeout) != std::future_status::ready) {
      return {};
    }
    return made.get();
  }

  bool IsWatcher() const { return mIsWatcher.load(); }
  bool IsLoaded() const { return mIsLoaded.load(); }
  std::uint64_t ControlBytes() const { return mControlBytes.load(); }

private:
  /** State that other threads read, guarded by mViewMutex. */
  struct View
  {
    VmIdentity self;
    FreshnessView freshness;
    std::vector<VmIdentity> live;
  };

  void Receive()
  {
    mSocket.async_receive_from(boost::asio::buffer(mBuffer),
                               mSender,
                               [this](const boost::system::error_code& aError, std::size_t aBytes) {
                                 if (aError == boost::asio::error::operation_aborted) {
                                   return;
                                 }
                                 if (!aError) {
                                   OnDatagram(aBytes);
                                 }
                                 Receive();
                               });
  }

  void OnDatagram(std::size_t aBytes)
  {
    mControlBytes += aBytes + kHeaderBytes;
    mCore.OnPacket(
      AddressOf(mSender), std::string_view(mBuffer.data(), aBytes), mParts.clock.Now());
    Flush();
  }

  void Tick()
  {
    mCore.Tick(mParts.clock.Now());
    if (mParts.clock.Now() >= mNextPublish) {
      mNextPublish = mParts.clock.Now() + mOptions.publishPeriod;
      Publish();
      mConfigStore.Trim();
    }
    Flush();
    mTimer.expires_after(kTickPeriod);
    mTimer.async_wait([this](const boost::system::error_code& aError) {
      if (!aError) {
        Tick();
      }
    });
  }

  void Publish() { mCore.PublishUpstreams(mUpstreams(), mParts.clock.Now()); }

  void Watch()
  {
    std::unique_lock lock(mStopMutex);
    while (!mStopping) {
      lock.unlock();
      const Milliseconds wait = mWatcher.Step(mIsWatcher.load());
      lock.lock();
      mStopCondition.wait_for(lock, wait, [this] { return mStopping; });
    }
  }

  void OnPlatform(PlatformChanges aChanges, bool aIsList, TimePoint aSentAt)
  {
    boost::asio::post(mContext, [this, changes = std::move(aChanges), aIsList, aSentAt] {
      mCore.OnPlatform(changes, mOptions.kinds, aIsList, aSentAt, mParts.clock.Now());
      Flush();
    });
  }

  /** Carries out the core's output. Configuration is applied first, so that it is in effect before
   * the view that may report it as confirmed is published. */
  void Flush()
  {
    FleetOutput output = mCore.TakeOutput();
    mConfigStore.Apply(output.configChanges, mCore.Config().Revision());
    UpdateView(!output.memberChanges.empty());
    for (FleetOutput::Gate& it : output.gates) {
      mParts.directory.ReplaceGate(it.address, std::move(it.upstreams));
    }
    for (const FleetOutput::Notice& it : output.notices) {
      LogEvent(it.level, it.event, { { "subject", it.subject } });
    }
    for (const FleetOutput::Datagram& it : output.datagrams) {
      SendDatagram(it);
    }
    for (const FleetOutput::Pull& it : output.pulls) {
      SendPull(it);
    }
    CallBack(output);
  }

  void CallBack(const FleetOutput& aOutput)
  {
    for (const MemberChange& change : aOutput.memberChanges) {
      for (const MemberFn& it : mMemberCallbacks) {
        it(change);
      }
    }
    if (mObjectCallbacks.empty()) {
      return;
    }
    for (const RecordChange& change : aOutput.configChanges) {
      const std::string_view key = change.after->Key();
      const auto [begin, end] =
        mObjectCallbacks.equal_range(std::string(key.substr(0, key.find('/'))));
      for (auto it = begin; it != end; ++it) {
        const Result<ConfigRecord> object = ConfigRecord::Read(*change.after);
        if (object) {
          it->second(object.Value());
        }
      }
    }
  }

  void UpdateView(bool aMembersChanged)
  {
    mIsWatcher = mCore.IsWatcher();
    mIsLoaded = mCore.IsLoaded();
    const Freshness freshness = mCore.View().At(mParts.clock.Now());
    {
      std::lock_guard lock(mViewMutex);
      mView.freshness = mCore.View();
      if (aMembersChanged || mView.self != mCore.Members().Self().identity) {
        mView.self = mCore.Members().Self().identity;
        mView.live = mCore.Live();
      }
    }
    if (freshness != mFreshness) {
      mFreshness = freshness;
      LogEvent(LogLevel::kInfo, Event::kFreshnessChanged, { { "state", NameOf(freshness) } });
    }
  }

  void SendDatagram(const FleetOutput::Datagram& aDatagram)
  {
    boost::system::error_code ec;
    // A full socket buffer or an unreachable peer counts as packet loss, which the protocol
    // tolerates.
    mSocket.send_to(boost::asio::buffer(aDatagram.bytes), EndpointOf(aDatagram.to), 0, ec);
    mControlBytes += aDatagram.bytes.size() + kHeaderBytes;
  }

  void SendPull(const FleetOutput::Pull& aPull)
  {
    mParts.links.Request(aPull.to,
                         PeerMessage::kRecordsPull,
                         aPull.payload,
                         kPullTimeout,
                         [weak = weak_from_this(), to = aPull.to](Result<std::string> aAnswer) {
                           if (const auto self = weak.lock()) {
                             self->OnPullAnswer(to, std::move(aAnswer));
                           }
                         });
  }

  void OnPullAnswer(const Address& aPeer, Result<std::string> aAnswer)
  {
    boost::asio::post(mContext, [this, aPeer, answer = std::move(aAnswer)] {
      mCore.OnPullAnswer(aPeer, answer, mParts.clock.Now());
      Flush();
    });
  }

  void AnswerPull(std::string aPayload, PeerLinks::ReplyFn aReply)
  {
    boost::asio::post(mContext, [this, payload = std::move(aPayload), reply = std::move(aReply)] {
      reply(mCore.AnswerPull(payload));
    });
  }

  InForceReport MakeReport()
  {
    InForceReport report;
    report.revision = mCore.Config().Revision();
    report.digest = mCore.Config().Digest();
    std::map<std::string, std::uint64_t> reportedDigests;
    for (const AppliedRevision& it : mCore.Applied(mParts.clock.Now())) {
      reportedDigests.emplace(it.node, it.digest);
    }
    for (const VmIdentity& member : mCore.Live()) {
      ++report.live;
      const auto it = reportedDigests.find(member.name);
      if (it == reportedDigests.end()) {
        report.unheard.push_back(member.name);
      } else if (it->second == report.digest) {
        ++report.inForce;
      } else {
        report.lagging.push_back(member.name);
      }
    }
    return report;
  }

  const Options mOptions;
  const Parts mParts;
  const UpstreamsFn mUpstreams;
  std::vector<MemberFn> mMemberCallbacks;
  std::multimap<std::string, ObjectFn> mObjectCallbacks;

  // Accessed only by the core thread once it has started.
  boost::asio::io_context mContext{ 1 };
  udp::socket mSocket;
  boost::asio::steady_timer mTimer;
  std::array<char, kReceiveBytes> mBuffer{};
  udp::endpoint mSender;
  FleetCore mCore;
  ConfigStore mConfigStore;
  TimePoint mNextPublish{};
  Freshness mFreshness = Freshness::kIsolated;

  PlatformWatcher mWatcher; //!< used by the watch thread only

  mutable std::mutex mViewMutex;
  View mView;
  std::atomic<bool> mIsWatcher{ false };
  std::atomic<bool> mIsLoaded{ false };
  std::atomic<std::uint64_t> mControlBytes{ 0 };

  std::mutex mStopMutex;
  std::condition_variable mStopCondition;
  bool mStopping = false;
  std::thread mCoreThread;
  std::thread mWatchThread;
};

FleetAgent::FleetAgent(std::shared_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

FleetAgent::~FleetAgent()
{
  mImpl->Stop();
}

std::unique_ptr<FleetAgent> FleetAgent::Make(Options aOptions,
                                             Parts aParts,
                                             PlatformReader aReader,
                                             ResourceParser aParser,
                                             UpstreamsFn aUpstreams)
{
  auto impl = std::make_shared<Impl>(
    std::move(aOptions), aParts, std::move(aReader), std::move(aParser), std::move(aUpstreams));
  if (!impl->Bind()) {
    return nullptr;
  }
  return std::unique_ptr<FleetAgent>(new FleetAgent(std::move(impl)));
}

void FleetAgent::OnMemberChange(MemberFn aCallback)
{
  mImpl->OnMemberChange(std::move(aCallback));
}

void FleetAgent::OnObject(std::string aKind, ObjectFn aCallback)
{
  mImpl->OnObject(std::move(aKind), std::move(aCallback));
}

void FleetAgent::Start()
{
  mImpl->Start();
}

void FleetAgent::PublishSoon()
{
  mImpl->PublishSoon();
}

void FleetAgent::Leave()
{
  mImpl->Leave();
}

void FleetAgent::Stop()
{
  mImpl->Stop();
}

Freshness FleetAgent::Current() const
{
  return mImpl->Current();
}

std::vector<VmIdentity> FleetAgent::LiveMembers() const
{
  return mImpl->LiveMembers();
}

VmIdentity FleetAgent::Self() const
{
  return mImpl->Self();
}

bool FleetAgent::IsWatcher() const
{
  return mImpl->IsWatcher();
}

bool FleetAgent::IsLoaded() const
{
  return mImpl->IsLoaded();
}

InForceReport FleetAgent::InForce() const
{
  return mImpl->InForce();
}

std::uint64_t FleetAgent::ControlBytes() const
{
  return mImpl->ControlBytes();
}

} // namespace mustardwinch
