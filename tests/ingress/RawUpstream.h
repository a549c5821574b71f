#pragma once

#include "mustardwinch/Address.h"
#include "mustardwinch/Clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <string>
#include <thread>

namespace mustardwinch::test {

/** An upstream that sends given bytes as soon as a request begins, and then resets the connection
 * without having read the rest of the request. Serves one connection on its own thread. */
class RawUpstream
{
public:
  RawUpstream(const Address& aAddress, std::string aAnswer)
    : mAcceptor(mLoop, { boost::asio::ip::address_v4(aAddress.ip), aAddress.port })
    , mThread([this, answer = std::move(aAnswer)] { Serve(answer); })
  {
  }

  ~RawUpstream() { mThread.join(); }
  RawUpstream(const RawUpstream&) = delete;
  RawUpstream& operator=(const RawUpstream&) = delete;

private:
  void Serve(const std::string& aAnswer)
  {
    boost::asio::ip::tcp::socket socket(mLoop);
    boost::system::error_code ec;
    mAcceptor.accept(socket, ec);
    std::array<char, 1'024> buf{};
    socket.read_some(boost::asio::buffer(buf), ec);
    boost::asio::write(socket, boost::asio::buffer(aAnswer), ec);
    std::this_thread::sleep_for(Milliseconds(100)); // the answer is read before the reset
    socket.set_option(boost::asio::socket_base::linger(true, 0), ec);
    socket.close(ec);
  }

  boost::asio::io_context mLoop;
  boost::asio::ip::tcp::acceptor mAcceptor;
  std::thread mThread;
};

} // namespace mustardwinch::test
