#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace mustardwinch {

/**
 * A connection between two nodes that carries frames: four bytes of length, then the body. Runs on
 * the thread of its event loop.
 */
class FrameConnection : public std::enable_shared_from_this<FrameConnection>
{
public:
  using FrameFn = std::function<void(std::string_view)>;
  using CloseFn = std::function<void()>;

  explicit FrameConnection(boost::asio::ip::tcp::socket aSocket);

  /** Begins to read. aOnClose is called once, also after Close(). */
  void Start(FrameFn aOnFrame, CloseFn aOnClose);

  void Send(const std::string& aBody);

  /** Called each time that all frames have been handed to the kernel. */
  void OnDrained(CloseFn aDrained) { mOnDrained = std::move(aDrained); }
  void Close();
  bool IsOpen() const { return mOpen; }

  /** A part of a frame has not been handed to the kernel yet. */
  bool IsSending() const { return mOpen && (mWriting || !mOutput.empty()); }

  /** The event loop has ended: nobody will be called any more. */
  void DropCallbacks();

  /** Bytes that wait to be sent. */
  std::size_t Backlog() const { return mOutput.size(); }

private:
  void AwaitBytes();
  void Read();
  void OnBytes(std::string_view aBytes);
  void Flush();

  boost::asio::ip::tcp::socket mSocket;
  std::string mInput; //!< begin of a frame that is not complete
  std::string mOutput;
  FrameFn mOnFrame;
  CloseFn mOnClose;
  CloseFn mOnDrained;
  bool mOpen = true;
  bool mWriting = false;
};

} // namespace mustardwinch
