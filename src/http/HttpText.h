#pragma once

#include "gate/HttpHeader.h"
#include "http/HttpAnswer.h"
#include "http/HttpRequest.h"

#include <string>
#include <string_view>

namespace mustardwinch {

/** Wire form of an answer. @param aClose tells the caller that the connection ends after it */
std::string FormatAnswer(const HttpAnswer& aAnswer, bool aClose, bool aHeadOnly);

/** Wire form of the head of a request, up to the empty line. Framing fields are set here. */
std::string FormatRequestHead(const HttpRequest& aRequest, std::string_view aHost);

/** Wire form of a request. Framing fields are set here; those of aRequest are left out. */
std::string FormatRequest(const HttpRequest& aRequest, std::string_view aHost);

/** The value of a header, or an empty text. */
std::string_view HeaderValue(const HttpHeaders& aHeaders, std::string_view aName);

} // namespace mustardwinch
