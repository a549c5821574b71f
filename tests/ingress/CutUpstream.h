#pragma once

#include "mustardwinch/Address.h"
#include "mustardwinch/Clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

namespace mustardwinch::test {

/** An upstream that sends given bytes after each request's head and ends the connection. Serves one
 * connection at a time on its own thread. */
class CutUpstream
{
public:
  explicit CutUpstream(const Address& aAddress)
    : mEndpoint(boost::asio::ip::address_v4(aAddress.ip), aAddress.port)
    , mAcceptor(mLoop, mEndpoint)
    , mThread([this] { Run(); })
  {
  }

  ~CutUpstream()
  {
    mStopping = true;
    boost::asio::io_context loop;
    boost::asio::ip::tcp::socket wake(loop);
    boost::system::error_code ec;
    wake.connect(mEndpoint, ec); // ends the wait of the other thread
    mThread.join();
  }

  CutUpstream(const CutUpstream&) = delete;
  CutUpstream& operator=(const CutUpstream&) = delete;

  /** What comes before the end, and whether the end is a reset. */
  void Set(std::string aAnswer, bool aReset)
  {
    std::lock_guard lock(mMutex);
    mAnswer = std::move(aAnswer);
    mReset = aReset;
  }

  /** The next request gets this answer, and its connection is kept. */
  void AnswerOnceWhole(std::string aAnswer)
  {
    std::lock_guard lock(mMutex);
    mWhole = std::move(aAnswer);
  }

  int Requests() const { return mRequests; }

private:
  void Run()
  {
    while (!mStopping) {
      boost::asio::ip::tcp::socket socket(mLoop);
      boost::system::error_code ec;
      mAcceptor.accept(socket, ec);
      if (!ec && !mStopping) {
        Serve(socket);
      }
    }
  }

  void Serve(boost::asio::ip::tcp::socket& aSocket)
  {
    std::string whole;
    boost::system::error_code ec;
    do {
      if (!ReadRequest(aSocket)) {
        return;
      }
      ++mRequests;
      {
        std::lock_guard lock(mMutex);
        whole = std::exchange(mWhole, {});
      }
      boost::asio::write(aSocket, boost::asio::buffer(whole), ec);
    } while (!whole.empty());
    std::lock_guard lock(mMutex);
    boost::asio::write(aSocket, boost::asio::buffer(mAnswer), ec);
    if (mReset) {
      std::this_thread::sleep_for(Milliseconds(3)); // the answer is read before the reset
      aSocket.set_option(boost::asio::socket_base::linger(true, 0), ec);
    }
    aSocket.close(ec);
  }

  /** Reads a request to its end: bytes that are not read would turn an orderly end into a reset. */
  static bool ReadRequest(boost::asio::ip::tcp::socket& aSocket)
  {
    const std::string name = "Content-Length: ";
    std::string input;
    boost::system::error_code ec;
    const auto buffer = boost::asio::dynamic_buffer(input);
    std::size_t bytes = boost::asio::read_until(aSocket, buffer, "\r\n\r\n", ec);
    const std::size_t at = input.find(name);
    bytes += at < bytes ? std::stoul(input.substr(at + name.size())) : 0;
    if (!ec && bytes > input.size()) {
      boost::asio::read(aSocket, buffer, boost::asio::transfer_exactly(bytes - input.size()), ec);
    }
    return !ec;
  }

  const boost::asio::ip::tcp::endpoint mEndpoint;
  boost::asio::io_context mLoop;
  boost::asio::ip::tcp::acceptor mAcceptor;
  std::mutex mMutex;
  std::string mAnswer;
  std::string mWhole;
  bool mReset = false;
  std::atomic<int> mRequests{ 0 };
  std::atomic<bool> mStopping{ false };
  std::thread mThread;
};

} // namespace mustardwinch::test
