#pragma once

#include "mustardwinch/Address.h"
#include "mustardwinch/Clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace mustardwinch::test {

/** An upstream that sends given bytes as soon as a request begins, and then resets the connection
 * without having read the rest of the request. Serves one connection on its own thread.
 * With aEndsFirst it ends its own direction some time before the reset. */
class RawUpstream
{
public:
  RawUpstream(const Address& aAddress, std::string aAnswer, bool aEndsFirst = false)
    : mEndsFirst(aEndsFirst)
    , mAcceptor(mLoop, { boost::asio::ip::address_v4(aAddress.ip), aAddress.port })
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
    if (mEndsFirst) {
      socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ec);
      std::this_thread::sleep_for(Milliseconds(200));
    }
    socket.set_option(boost::asio::socket_base::linger(true, 0), ec);
    socket.close(ec);
  }

  const bool mEndsFirst;
  boost::asio::io_context mLoop;
  boost::asio::ip::tcp::acceptor mAcceptor;
  std::thread mThread;
};

/** An upstream that answers requests on one kept connection with given bytes, in order. After the
 * last ones it stops listening, reads one more request and closes. Runs on its own thread. */
class KeptConnectionUpstream
{
public:
  KeptConnectionUpstream(const Address& aAddress, std::vector<std::string> aAnswers)
    : mAcceptor(mLoop, { boost::asio::ip::address_v4(aAddress.ip), aAddress.port })
    , mThread([this, answers = std::move(aAnswers)] { Serve(answers); })
  {
  }

  ~KeptConnectionUpstream() { mThread.join(); }
  KeptConnectionUpstream(const KeptConnectionUpstream&) = delete;
  KeptConnectionUpstream& operator=(const KeptConnectionUpstream&) = delete;

  /** Requests without a body that were read. */
  int Requests() const { return mRequests; }

private:
  void Serve(const std::vector<std::string>& aAnswers)
  {
    boost::asio::ip::tcp::socket socket(mLoop);
    boost::system::error_code ec;
    mAcceptor.accept(socket, ec);
    mAcceptor.close(ec);
    for (const std::string& it : aAnswers) {
      ReadRequest(socket);
      boost::asio::write(socket, boost::asio::buffer(it), ec);
    }
    ReadRequest(socket);
  }

  void ReadRequest(boost::asio::ip::tcp::socket& aSocket)
  {
    boost::system::error_code ec;
    mInput.erase(
      0, boost::asio::read_until(aSocket, boost::asio::dynamic_buffer(mInput), "\r\n\r\n", ec));
    mRequests += ec ? 0 : 1;
  }

  boost::asio::io_context mLoop;
  boost::asio::ip::tcp::acceptor mAcceptor;
  std::string mInput;
  std::atomic<int> mRequests{ 0 };
  std::thread mThread;
};

} // namespace mustardwinch::test
