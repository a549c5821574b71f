#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace mustardwinch::test {

/** How the end of an answer is told. */
enum class Framing : std::uint8_t
{
  kLength,
  kChunked,
  kToTheEnd, //!< by the end of the connection
};

/** What an upstream may answer. */
struct AnswerForm
{
  const char* name;
  const char* status;
  const char* fields; //!< besides the id and the framing
  Framing framing;
  bool echoesId;
  bool hasRun; //!< false: the upstream means that it has not run the request and never will

  bool IsSuccess() const { return status[0] == '2'; }
};

inline constexpr const char* kSigned = "X-Response-Signature: s\r\n";
inline constexpr const char* kNotRun = "X-Not-Executed: 1\r\n";

inline constexpr AnswerForm kSuccess{ "success", "200 OK", kSigned, Framing::kLength, true, true };
inline constexpr AnswerForm kChunkedSuccess{ "chunked success", "200 OK", kSigned,
                                             Framing::kChunked, true,     true };
inline constexpr AnswerForm kEndlessSuccess{ "success without a length", "200 OK", kSigned,
                                             Framing::kToTheEnd,         true,     true };
inline constexpr AnswerForm kNamelessSuccess{ "success without an id", "200 OK", kSigned,
                                              Framing::kLength,        false,    true };
inline constexpr AnswerForm kFailure{
  "failure", "500 Failed", kSigned, Framing::kLength, true, true
};
inline constexpr AnswerForm kRejection{ "rejection",      "503 Busy", kNotRun,
                                        Framing::kLength, true,       false };
inline constexpr AnswerForm kNamelessRejection{ "rejection without an id", "503 Busy", kNotRun,
                                                Framing::kLength,          false,      false };
inline constexpr AnswerForm kEndlessRejection{ "rejection without a length", "503 Busy", kNotRun,
                                               Framing::kToTheEnd,           true,       false };
inline constexpr AnswerForm kRunAnd429{ "429 after a run", "429 Slow", kSigned,
                                        Framing::kLength,  true,       true };
inline constexpr AnswerForm kNamelessRunAnd503{
  "503 after a run, without an id", "503 Failed", "", Framing::kLength, false, true
};
inline constexpr AnswerForm kRunAnd421{
  "421 after a run", "421 Misdirected", "", Framing::kLength, true, true
};
inline constexpr AnswerForm kOtherInstance{ "421 of another instance",
                                            "421 Misdirected",
                                            "X-Instance-Id: i-9\r\n",
                                            Framing::kLength,
                                            false,
                                            false };

inline std::string BodyOf(int aCall)
{
  return "body of call " + std::to_string(aCall);
}

/** An answer in the pieces in which it may be written: two of the head, two of the body. */
inline std::vector<std::string> PiecesOf(const AnswerForm& aForm, const std::string& aId, int aCall)
{
  const std::string body = BodyOf(aCall);
  std::string head = std::string("HTTP/1.1 ") + aForm.status + "\r\n" + aForm.fields;
  if (aForm.echoesId) {
    head += "X-Request-Id: " + aId + "\r\n";
  }
  std::string first = body.substr(0, 4);
  std::string last = body.substr(4);
  if (aForm.framing == Framing::kLength) {
    head += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  } else if (aForm.framing == Framing::kChunked) {
    head += "Transfer-Encoding: chunked\r\n";
    const auto chunk = [](const std::string& aText) {
      constexpr const char* kDigits = "0123456789abcdef";
      return std::string(1, kDigits[aText.size()]) + "\r\n" + aText + "\r\n";
    };
    first = chunk(first);
    last = chunk(last) + "0\r\n\r\n";
  }
  head += "\r\n";
  const std::size_t half = head.size() / 2;
  return { head.substr(0, half), head.substr(half), first, last };
}

/** A request as the upstream read it, and what it did with it. */
struct Sending
{
  std::string id;
  bool ran = true;      //!< unless the upstream says otherwise
  bool success = false; //!< the answer is one
  bool whole = false;   //!< all of its answer is written, and its end is told
  std::string body;     //!< of the whole answer
};

/** A connection as the upstream sees it. */
struct UpstreamConnection
{
  explicit UpstreamConnection(boost::asio::io_context& aLoop)
    : socket(aLoop)
  {
  }

  boost::asio::ip::tcp::socket socket;
  std::string input;
  std::size_t bodyLeft = 0;         //!< bytes of the request that are not read
  bool readsAll = true;             //!< otherwise it stops reading behind the head
  int call = 0;                     //!< the last one that was read
  bool unanswered = false;          //!< no answer to it has begun
  Framing framing{};                //!< of the last answer
  std::vector<std::string> pieces;  //!< of the last answer, that are not written
  std::string answer;               //!< the last one, whole
  std::vector<std::string> earlier; //!< answers that were written whole
  std::string spoiled;              //!< why no other request may come, if so
  bool open = true;
  bool peerClosed = false;
};

/** An upstream whose every read and write is a step of a test. Notes which requests it ran. */
class OrderedUpstream
{
public:
  using Complain = std::function<void(const std::string&)>;

  OrderedUpstream(boost::asio::io_context& aLoop, int aListener, bool aReadsAll, Complain aComplain)
    : mLoop(aLoop)
    , mAcceptor(aLoop, boost::asio::ip::tcp::v4(), aListener)
    , mReadsAll(aReadsAll)
    , mComplain(std::move(aComplain))
  {
    mAcceptor.non_blocking(true);
  }

  /** Accepts and reads what is there. @return whether there was anything */
  bool Pump()
  {
    bool any = false;
    while (Accept()) {
      any = true;
    }
    for (const auto& it : mConnections) {
      any = Read(*it) || any;
    }
    return any;
  }

  /** The connection on which the upstream acts. */
  UpstreamConnection* Current()
  {
    return mConnections.empty() || !mConnections.back()->open ? nullptr : mConnections.back().get();
  }

  const std::map<int, Sending>& Sendings() const { return mSendings; }

  void Begin(UpstreamConnection& aConnection, const AnswerForm& aForm)
  {
    Sending& sending = mSendings.at(aConnection.call);
    sending.ran = aForm.hasRun;
    sending.success = aForm.IsSuccess();
    aConnection.unanswered = false;
    aConnection.framing = aForm.framing;
    aConnection.pieces = PiecesOf(aForm, sending.id, aConnection.call);
    aConnection.answer.clear();
    for (const std::string& it : aConnection.pieces) {
      aConnection.answer += it;
    }
    if (aForm.framing == Framing::kToTheEnd) {
      aConnection.spoiled = "after an answer without a length";
    }
    WritePiece(aConnection);
  }

  void WritePiece(UpstreamConnection& aConnection)
  {
    Write(aConnection, aConnection.pieces.front());
    aConnection.pieces.erase(aConnection.pieces.begin());
    if (aConnection.pieces.empty() && aConnection.framing != Framing::kToTheEnd) {
      mSendings.at(aConnection.call).whole = true;
      mSendings.at(aConnection.call).body = BodyOf(aConnection.call);
      aConnection.earlier.push_back(aConnection.answer);
    }
  }

  void Write(UpstreamConnection& aConnection, const std::string& aText)
  {
    boost::system::error_code ec;
    boost::asio::write(aConnection.socket, boost::asio::buffer(aText), ec);
    aConnection.peerClosed = aConnection.peerClosed || ec;
  }

  /** Ends a connection in order. That is the end of an answer without a length: its body is what
   * was written by then. */
  void Close(UpstreamConnection& aConnection)
  {
    constexpr std::size_t kBodyPieces = 2;
    const bool headWritten = aConnection.pieces.size() <= kBodyPieces;
    if (aConnection.call != 0 && !aConnection.unanswered && headWritten &&
        aConnection.framing == Framing::kToTheEnd) {
      std::string body = BodyOf(aConnection.call);
      for (const std::string& it : aConnection.pieces) {
        body.resize(body.size() - it.size());
      }
      mSendings.at(aConnection.call).whole = true;
      mSendings.at(aConnection.call).body = body;
    }
    boost::system::error_code ec;
    aConnection.socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ec);
    // Unread bytes would make a reset of close().
    aConnection.readsAll = true;
    while (Read(aConnection)) {
    }
    aConnection.open = false;
  }

  void Reset(UpstreamConnection& aConnection)
  {
    boost::system::error_code ec;
    aConnection.socket.set_option(boost::asio::socket_base::linger(true, 0), ec);
    aConnection.socket.close(ec);
    aConnection.open = false;
    aConnection.peerClosed = true;
  }

  /** Reads all that was sent, then resets what is open. */
  void ResetAll()
  {
    for (const auto& it : mConnections) {
      it->readsAll = true;
    }
    while (Pump()) {
    }
    for (const auto& it : mConnections) {
      if (it->socket.is_open()) {
        Reset(*it);
      }
    }
  }

private:
  bool Accept()
  {
    auto connection = std::make_unique<UpstreamConnection>(mLoop);
    boost::system::error_code ec;
    mAcceptor.accept(connection->socket, ec);
    if (ec) {
      return false;
    }
    connection->socket.non_blocking(true);
    connection->readsAll = mReadsAll;
    mConnections.push_back(std::move(connection));
    return true;
  }

  bool Read(UpstreamConnection& aConnection)
  {
    if (aConnection.peerClosed || (!aConnection.readsAll && aConnection.bodyLeft != 0)) {
      return false;
    }
    boost::system::error_code ec;
    const std::size_t n = aConnection.socket.read_some(boost::asio::buffer(mChunk), ec);
    if (ec == boost::asio::error::would_block) {
      return false;
    }
    if (ec) {
      aConnection.peerClosed = true;
      return true;
    }
    aConnection.input.append(mChunk.data(), n);
    Parse(aConnection);
    return true;
  }

  void Parse(UpstreamConnection& aConnection)
  {
    std::string& input = aConnection.input;
    while (true) {
      const std::size_t n = std::min(aConnection.bodyLeft, input.size());
      input.erase(0, n);
      aConnection.bodyLeft -= n;
      const std::size_t end = input.find("\r\n\r\n");
      if (aConnection.bodyLeft != 0 || end == std::string::npos) {
        return;
      }
      OnHead(aConnection, input.substr(0, end + 4));
      input.erase(0, end + 4);
    }
  }

  static std::string FieldOf(const std::string& aHead, const std::string& aName)
  {
    const std::size_t at = aHead.find("\r\n" + aName + ": ");
    if (at == std::string::npos) {
      return "";
    }
    const std::size_t begin = at + aName.size() + 4;
    return aHead.substr(begin, aHead.find("\r\n", begin) - begin);
  }

  void OnHead(UpstreamConnection& aConnection, const std::string& aHead)
  {
    if (!aConnection.spoiled.empty()) {
      mComplain("a connection is used again " + aConnection.spoiled);
    }
    if (aConnection.unanswered || !aConnection.pieces.empty()) {
      mComplain("a connection is used again before the end of an answer");
    }
    aConnection.call = std::stoi(FieldOf(aHead, "X-Call"));
    aConnection.unanswered = true;
    aConnection.pieces.clear();
    const std::string length = FieldOf(aHead, "Content-Length");
    aConnection.bodyLeft = length.empty() ? 0 : std::stoul(length);
    if (!mSendings
           .emplace(aConnection.call,
                    Sending{ FieldOf(aHead, "X-Request-Id"), true, false, false, "" })
           .second) {
      mComplain("a call is sent twice");
    }
  }

  boost::asio::io_context& mLoop;
  boost::asio::ip::tcp::acceptor mAcceptor;
  const bool mReadsAll;
  const Complain mComplain;
  std::vector<std::unique_ptr<UpstreamConnection>> mConnections;
  std::map<int, Sending> mSendings; //!< by number of the call
  std::array<char, 65'536> mChunk{};
};

} // namespace mustardwinch::test
