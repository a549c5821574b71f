#pragma once

#include "mustardwinch/Address.h"

#include <boost/asio/ip/tcp.hpp>

namespace mustardwinch {

/** Lets an acceptor listen at an address. The reason is logged if the address cannot be had. */
bool OpenAcceptor(boost::asio::ip::tcp::acceptor& aAcceptor, const Address& aAddress, int aBacklog);

} // namespace mustardwinch
