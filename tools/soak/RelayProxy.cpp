#include "soak/RelayProxy.h"

#include "http/OpenAcceptor.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <utility>

namespace mustardwinch::soak {
namespace {

using boost::asio::ip::tcp;

constexpr int kBacklog = 256;
constexpr std::size_t kReadBytes = 16'384;
constexpr Milliseconds kHoldPoll{ 10 };

} // namespace

/** One connection: two pumps that end together. */
class Relay : public std::enable_shared_from_this<Relay>
{
public:
  Relay(tcp::socket aCaller, boost::asio::io_context& aLoop, std::shared_ptr<RelayFaults> aFaults)
    : mLoop(aLoop)
    , mCaller(std::move(aCaller))
    , mTarget(aLoop)
    , mFaults(std::move(aFaults))
  {
  }

  void Start(const Address& aTarget)
  {
    const tcp::endpoint endpoint(boost::asio::ip::address_v4(aTarget.ip), aTarget.port);
    mTarget.async_connect(endpoint,
                          [self = shared_from_this()](const boost::system::error_code& aError) {
                            if (aError) {
                              self->Close();
                              return;
                            }
                            self->Pump(self->mCaller, self->mTarget, &RelayFaults::holdsThere);
                            self->Pump(self->mTarget, self->mCaller, &RelayFaults::holdsBack);
                          });
  }

  void Silence() { mSilent = true; }

  void Reset()
  {
    boost::system::error_code ec; // a socket that is gone needs no reset
    mCaller.set_option(boost::asio::socket_base::linger(true, 0), ec);
    mTarget.set_option(boost::asio::socket_base::linger(true, 0), ec);
    Close();
  }

private:
  using Hold = bool RelayFaults::*;

  void Pump(tcp::socket& aFrom, tcp::socket& aTo, Hold aHold)
  {
    auto chunk = std::make_shared<std::array<char, kReadBytes>>();
    aFrom.async_read_some(
      boost::asio::buffer(*chunk),
      [self = shared_from_this(), &aFrom, &aTo, aHold, chunk](
        const boost::system::error_code& aError, std::size_t aCount) {
        if (aError) {
          self->OnEnd(aHold);
          return;
        }
        self->Wait(self->mFaults->delay, aHold, [self, &aFrom, &aTo, aHold, chunk, aCount] {
          boost::asio::async_write(aTo,
                                   boost::asio::buffer(*chunk, aCount),
                                   [self, &aFrom, &aTo, aHold, chunk](
                                     const boost::system::error_code& aFailed, std::size_t) {
                                     if (aFailed) {
                                       self->Close();
                                     } else {
                                       self->Pump(aFrom, aTo, aHold);
                                     }
                                   });
        });
      });
  }

  /** An end is seen behind a fault only when the fault is over, as on a real path. */
  void OnEnd(Hold aHold)
  {
    Wait(Milliseconds(0), aHold, [self = shared_from_this()] { self->Close(); });
  }

  void Wait(Milliseconds aDelay, Hold aHold, std::function<void()> aThen)
  {
    if (mSilent) {
      return; // for good; the peer's own time limit ends the connection
    }
    if (aDelay.count() == 0 && !((*mFaults).*aHold)) {
      aThen();
      return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(mLoop);
    timer->expires_after(std::max(aDelay, kHoldPoll));
    timer->async_wait(
      [self = shared_from_this(), timer, aHold, then = std::move(aThen)](
        const boost::system::error_code&) { self->Wait(Milliseconds(0), aHold, then); });
  }

  void Close()
  {
    boost::system::error_code ec; // nothing is left to do for a socket that cannot be closed
    mCaller.close(ec);
    mTarget.close(ec);
  }

  boost::asio::io_context& mLoop;
  tcp::socket mCaller;
  tcp::socket mTarget;
  const std::shared_ptr<RelayFaults> mFaults;
  bool mSilent = false;
};

RelayProxy::RelayProxy(boost::asio::io_context& aLoop,
                       const Address& aListen,
                       const Address& aTarget)
  : mLoop(aLoop)
  , mTarget(aTarget)
  , mAcceptor(aLoop)
  , mListening(OpenAcceptor(mAcceptor, aListen, kBacklog))
{
  Accept();
}

RelayProxy::~RelayProxy()
{
  Reset();
}

void RelayProxy::Accept()
{
  mAcceptor.async_accept([this](const boost::system::error_code& aError, tcp::socket aSocket) {
    if (aError) {
      return; // the proxy ends
    }
    std::erase_if(mRelays, [](const auto& aRelay) { return aRelay.expired(); });
    const auto relay = std::make_shared<Relay>(std::move(aSocket), mLoop, mFaults);
    mRelays.push_back(relay);
    relay->Start(mTarget);
    Accept();
  });
}

void RelayProxy::Silence()
{
  for (const auto& it : mRelays) {
    if (const auto relay = it.lock()) {
      relay->Silence();
      mSilenced.push_back(relay);
    }
  }
}

void RelayProxy::Reset()
{
  for (const auto& it : mRelays) {
    if (const auto relay = it.lock()) {
      relay->Reset();
    }
  }
}

} // namespace mustardwinch::soak
