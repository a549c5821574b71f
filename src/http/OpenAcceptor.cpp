#include "http/OpenAcceptor.h"

#include "mustardwinch/Event.h"

namespace mustardwinch {

using boost::asio::ip::tcp;

bool OpenAcceptor(tcp::acceptor& aAcceptor, const Address& aAddress, int aBacklog)
{
  boost::system::error_code ec;
  const tcp::endpoint endpoint(boost::asio::ip::address_v4(aAddress.ip), aAddress.port);
  aAcceptor.open(endpoint.protocol(), ec);
  if (!ec) {
    aAcceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    aAcceptor.bind(endpoint, ec);
  }
  if (!ec) {
    aAcceptor.listen(aBacklog, ec);
  }
  if (ec) {
    LogEvent(LogLevel::kError,
             Event::kListenFailed,
             { { "address", aAddress.ToString() }, { "error", ec.message() } });
  }
  return !ec;
}

} // namespace mustardwinch
