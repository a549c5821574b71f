#include "soak/WireListener.h"

#include "http/OpenAcceptor.h"

#include <utility>

namespace mustardwinch::soak {
namespace {

constexpr int kBacklog = 1'024;

} // namespace

WireListener::WireListener(boost::asio::io_context& aLoop,
                           const Address& aAddress,
                           WireSession::Handlers aHandlers)
  : mAcceptor(aLoop)
  , mHandlers(std::move(aHandlers))
  , mListening(OpenAcceptor(mAcceptor, aAddress, kBacklog))
{
  if (mListening) {
    Accept();
  }
}

WireListener::~WireListener()
{
  for (const auto& it : mSessions) {
    if (const auto session = it.lock()) {
      session->Close();
    }
  }
}

void WireListener::Accept()
{
  mAcceptor.async_accept(
    [this, alive = std::weak_ptr<bool>(mAlive)](const boost::system::error_code& aError,
                                                boost::asio::ip::tcp::socket aSocket) {
      if (aError == boost::asio::error::operation_aborted || alive.expired()) {
        return;
      }
      if (!aError) {
        mSessions.remove_if([](const auto& aSession) { return aSession.expired(); });
        auto session = std::make_shared<WireSession>(std::move(aSocket), mHandlers);
        mSessions.push_back(session);
        session->Start();
      }
      Accept();
    });
}

} // namespace mustardwinch::soak
