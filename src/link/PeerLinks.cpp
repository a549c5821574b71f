#include "link/PeerLinks.h"

#include "link/LinkConnection.h"
#include "link/PeerStream.h"

#include <map>
#include <set>
#include <thread>
#include <utility>
#include <vector>

namespace mustardwinch {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/** A dialled link that nothing used for this long is closed. */
constexpr Seconds kIdleLinkLimit{ 60 };
constexpr Seconds kIdleSweepPeriod{ 5 };

} // namespace

/**
 * Lock order: mMutex before nothing; no call leaves this class while it is held.
 */
class PeerLinks::Impl
{
public:
  explicit Impl(const Options& aOptions)
    : mOptions(aOptions)
    , mAcceptor(mContext)
    , mSweepTimer(mContext)
  {
  }

  bool Start()
  {
    error_code ec;
    const tcp::endpoint endpoint(asio::ip::address_v4(mOptions.listen.ip), mOptions.listen.port);
    mAcceptor.open(tcp::v4(), ec);
    if (!ec) {
      mAcceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    }
    if (!ec) {
      mAcceptor.bind(endpoint, ec);
    }
    if (!ec) {
      mAcceptor.listen(asio::socket_base::max_listen_connections, ec);
    }
    if (ec) {
      return false;
    }
    AcceptNext();
    SweepLater();
    for (int i = 0; i < mOptions.threads; ++i) {
      mThreads.emplace_back([this] { mContext.run(); });
    }
    return true;
  }

  void Stop()
  {
    if (mStopped.exchange(true)) {
      return;
    }
    asio::post(mContext, [this] {
      error_code ec;
      mAcceptor.close(ec);
      mSweepTimer.cancel(ec);
    });
    for (const auto& it : AllConnections()) {
      it->Close();
    }
    mWork.reset();
    for (std::thread& it : mThreads) {
      it.join();
    }
  }

  std::shared_ptr<LinkConnection> ConnectionTo(const Address& aPeer)
  {
    std::shared_ptr<LinkConnection> connection;
    {
      std::lock_guard lock(mMutex);
      std::shared_ptr<LinkConnection>& slot = mDialled[aPeer];
      if (slot && !slot->IsClosed()) {
        return slot;
      }
      connection = MakeConnection(aPeer);
      slot = connection;
    }
    if (mStopped) {
      connection->Close();
    }
    connection->Dial(mOptions.listen);
    return connection;
  }

  std::uint64_t ControlBytes()
  {
    std::uint64_t n = mClosedControlBytes.load();
    for (const auto& it : AllConnections()) {
      n += it->ControlBytes();
    }
    return n;
  }

  std::map<PeerMessage, RequestHandler> mRequestHandlers;
  StreamHandler mStreamHandler;

private:
  std::shared_ptr<LinkConnection> MakeConnection(const Address& aPeer)
  {
    LinkConnection::Handlers handlers;
    handlers.request =
      [this](PeerMessage aKind, const Address& aFrom, std::string aPayload, ReplyFn aReply) {
        const auto it = mRequestHandlers.find(aKind);
        if (it == mRequestHandlers.end()) {
          aReply(Result<std::string>(ResultCode::kLinkBadFrame, "unknown request"));
          return;
        }
        it->second(aFrom, std::move(aPayload), std::move(aReply));
      };
    handlers.stream = [this](std::shared_ptr<PeerStream> aStream, std::string aHead) {
      if (!mStreamHandler) {
        aStream->Reset(ResultCode::kLinkBadFrame);
        return;
      }
      mStreamHandler(std::move(aStream), std::move(aHead));
    };
    handlers.closed = [this](const std::shared_ptr<LinkConnection>& aConnection) {
      Remove(aConnection);
    };
    const LinkConnection::Limits limits{ mOptions.connectTimeout,
                                         mOptions.heartbeat,
                                         mOptions.silenceLimit };
    return std::make_shared<LinkConnection>(mContext, aPeer, limits, std::move(handlers));
  }

  void AcceptNext()
  {
    mAcceptor.async_accept([this](const error_code& aError, tcp::socket aSocket) {
      if (aError == asio::error::operation_aborted) {
        return;
      }
      if (!aError) {
        error_code ec;
        const tcp::endpoint remote = aSocket.remote_endpoint(ec);
        const Address peer{ remote.address().to_v4().to_uint(), remote.port() };
        auto connection = MakeConnection(peer);
        {
          std::lock_guard lock(mMutex);
          mAccepted.insert(connection);
        }
        connection->Accept(std::move(aSocket));
      }
      if (mAcceptor.is_open()) {
        AcceptNext();
      }
    });
  }

  void SweepLater()
  {
    mSweepTimer.expires_after(kIdleSweepPeriod);
    mSweepTimer.async_wait([this](const error_code& aError) {
      if (!aError) {
        SweepIdle();
        SweepLater();
      }
    });
  }

  void SweepIdle()
  {
    const auto limit = std::chrono::steady_clock::now() - kIdleLinkLimit;
    std::vector<std::shared_ptr<LinkConnection>> idle;
    {
      std::lock_guard lock(mMutex);
      for (const auto& [peer, it] : mDialled) {
        if (it->IsIdle() && it->LastUsed() < limit) {
          idle.push_back(it);
        }
      }
    }
    for (const auto& it : idle) {
      it->Close();
    }
  }

  void Remove(const std::shared_ptr<LinkConnection>& aConnection)
  {
    std::lock_guard lock(mMutex);
    mClosedControlBytes += aConnection->ControlBytes();
    mAccepted.erase(aConnection);
    const auto it = mDialled.find(aConnection->Peer());
    if (it != mDialled.end() && it->second == aConnection) {
      mDialled.erase(it);
    }
  }

  std::vector<std::shared_ptr<LinkConnection>> AllConnections()
  {
    std::lock_guard lock(mMutex);
    std::vector<std::shared_ptr<LinkConnection>> all(mAccepted.begin(), mAccepted.end());
    for (const auto& [peer, it] : mDialled) {
      all.push_back(it);
    }
    return all;
  }

  const Options mOptions;
  asio::io_context mContext;
  std::optional<asio::executor_work_guard<asio::io_context::executor_type>> mWork{
    asio::make_work_guard(mContext)
  };
  tcp::acceptor mAcceptor;
  asio::steady_timer mSweepTimer;
  std::vector<std::thread> mThreads;
  std::atomic<bool> mStopped{ false };
  std::atomic<std::uint64_t> mClosedControlBytes{ 0 };
  std::mutex mMutex;
  std::map<Address, std::shared_ptr<LinkConnection>> mDialled;
  std::set<std::shared_ptr<LinkConnection>> mAccepted;
};

std::unique_ptr<PeerLinks> PeerLinks::Make(const Options& aOptions)
{
  auto impl = std::make_unique<Impl>(aOptions);
  if (!impl->Start()) {
    return nullptr;
  }
  return std::unique_ptr<PeerLinks>(new PeerLinks(std::move(impl)));
}

PeerLinks::PeerLinks(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

PeerLinks::~PeerLinks()
{
  Stop();
}

void PeerLinks::OnRequest(PeerMessage aKind, RequestHandler aHandler)
{
  mImpl->mRequestHandlers[aKind] = std::move(aHandler);
}

void PeerLinks::OnStream(StreamHandler aHandler)
{
  mImpl->mStreamHandler = std::move(aHandler);
}

void PeerLinks::Request(const Address& aTo,
                        PeerMessage aKind,
                        std::string aPayload,
                        Milliseconds aTimeout,
                        ReplyFn aReply)
{
  mImpl->ConnectionTo(aTo)->Request(aKind, std::move(aPayload), aTimeout, std::move(aReply));
}

std::shared_ptr<PeerStream> PeerLinks::OpenStream(const Address& aTo, std::string aHead)
{
  return mImpl->ConnectionTo(aTo)->OpenStream(std::move(aHead));
}

std::uint64_t PeerLinks::ControlBytes() const
{
  return mImpl->ControlBytes();
}

void PeerLinks::Stop()
{
  mImpl->Stop();
}

} // namespace mustardwinch
