#pragma once

#include "http/HttpAnswer.h"
#include "mustardwinch/Clock.h"

#include <boost/system/error_code.hpp>

#include <optional>

namespace mustardwinch {

/** How an exchange on a client connection ended. */
struct HttpChannelResult
{
  boost::system::error_code error;       //!< none: the answer is whole
  bool begun = false;                    //!< at least one byte of an answer was read
  bool reusable = false;                 //!< the connection may carry another exchange
  std::optional<Milliseconds> idleLimit; //!< the peer closes an idle connection after this time
  HttpAnswer answer;
};

} // namespace mustardwinch
