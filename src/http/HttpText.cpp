#include "http/HttpText.h"

#include <boost/beast/http/status.hpp>

namespace mustardwinch {
namespace {

bool IsFraming(std::string_view aName)
{
  return IsHopByHopHeader(aName) || SameHeaderName(aName, "Content-Length");
}

void AppendHeaders(std::string& aOut, const HttpHeaders& aHeaders)
{
  for (const HttpHeader& it : aHeaders) {
    if (IsFraming(it.name)) {
      continue;
    }
    aOut += it.name;
    aOut += ": ";
    aOut += it.value;
    aOut += "\r\n";
  }
}

} // namespace

std::string FormatAnswer(const HttpAnswer& aAnswer, bool aClose, bool aHeadOnly)
{
  std::string out = "HTTP/1.1 " + std::to_string(aAnswer.status) + " ";
  out += std::string(
    boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(aAnswer.status)));
  out += "\r\n";
  AppendHeaders(out, aAnswer.headers);
  const bool bodiless = aAnswer.status == 204 || aAnswer.status == 304;
  if (!bodiless) {
    out += "Content-Length: " + std::to_string(aAnswer.body.size()) + "\r\n";
  }
  out += aClose ? "Connection: close\r\n\r\n" : "\r\n";
  if (!aHeadOnly && !bodiless) {
    out += aAnswer.body;
  }
  return out;
}

std::string FormatRequest(const HttpRequest& aRequest, std::string_view aHost)
{
  return FormatRequestHead(aRequest, aHost) + aRequest.body.Text();
}

std::string FormatRequestHead(const HttpRequest& aRequest, std::string_view aHost)
{
  std::string out = aRequest.method + " " + aRequest.target + " HTTP/1.1\r\n";
  if (FindHeader(aRequest.headers, "Host") == nullptr) {
    out += "Host: ";
    out += aHost;
    out += "\r\n";
  }
  AppendHeaders(out, aRequest.headers);
  const bool carriesBody = !aRequest.body.empty() || aRequest.method == "POST" ||
                           aRequest.method == "PUT" || aRequest.method == "PATCH";
  if (carriesBody) {
    out += "Content-Length: " + std::to_string(aRequest.body.size()) + "\r\n";
  }
  out += "\r\n";
  return out;
}

std::string_view HeaderValue(const HttpHeaders& aHeaders, std::string_view aName)
{
  const HttpHeader* header = FindHeader(aHeaders, aName);
  return header != nullptr ? std::string_view(header->value) : std::string_view();
}

} // namespace mustardwinch
