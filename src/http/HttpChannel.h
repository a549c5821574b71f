#pragma once

#include "base/SharedText.h"
#include "http/ByteBudget.h"
#include "http/HttpAnswer.h"
#include "http/HttpChannelResult.h"
#include "mustardwinch/Address.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace mustardwinch {

/**
 * One client connection, one exchange at a time. Time limits are the owner's: Close() ends an
 * exchange with operation_aborted. Runs on the thread of its event loop.
 */
class HttpChannel : public std::enable_shared_from_this<HttpChannel>
{
public:
  using ConnectFn = std::function<void(const boost::system::error_code&)>;
  using DoneFn = std::function<void(HttpChannelResult)>;
  /** Whether an answer belongs to the exchange; others are read and dropped. */
  using AcceptFn = std::function<bool(const HttpAnswer&)>;

  /** @param aBudget shared with other channels; an answer that exceeds it fails. Null: no limit */
  explicit HttpChannel(boost::asio::io_context& aLoop,
                       std::shared_ptr<ByteBudget> aBudget = nullptr);

  void Connect(const Address& aAddress, ConnectFn aDone);

  /**
   * Sends a request in wire form and reads its answer.
   *
   * @param aHead no body is expected
   * @param aBody sent behind aBytes without a copy
   */
  void Exchange(std::string aBytes,
                std::size_t aMaxBody,
                bool aHead,
                AcceptFn aAccept,
                DoneFn aDone,
                SharedText aBody = {});

  void Close();
  bool IsOpen() const { return mOpen; }

  /** The event loop has ended: nobody will be called any more. */
  void DropCallbacks();

private:
  using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

  void Read();
  void OnRead(const boost::system::error_code& aError, std::size_t aCount);
  void Parse();
  void OnEnd();
  void OnAnswer();
  void NewParser();
  bool TakeBytes(std::size_t aCount);
  void ReturnBytes();
  void Finish(const boost::system::error_code& aError, bool aReusable);
  HttpAnswer TakeAnswer(std::optional<Milliseconds>& aIdleLimit);

  static constexpr std::size_t kReadBytes = 8'192;

  boost::asio::ip::tcp::socket mSocket;
  const std::shared_ptr<ByteBudget> mBudget;
  std::array<char, kReadBytes> mChunk{};
  std::string mInput;
  std::optional<Parser> mParser;
  std::size_t mMaxBody = 0;
  bool mHead = false;
  std::size_t mReceived = 0; //!< bytes read in this exchange, taken from mBudget
  AcceptFn mAccept;
  DoneFn mDone;
  bool mOpen = false;
  bool mReading = false;
  bool mWriting = false;
  bool mBegun = false;
  bool mEndSeen = false; //!< the peer has ended its direction, the request is still being sent
  /** Why the request was not sent whole. The kernel reports a reset once: after it was reported to
   * the write, reads see an orderly end. */
  boost::system::error_code mWriteError;
};

/** Makes a silent peer or path show within seconds. */
void SetKeepAliveProbes(boost::asio::ip::tcp::socket& aSocket);

} // namespace mustardwinch
