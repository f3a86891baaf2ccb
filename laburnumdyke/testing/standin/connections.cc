// Connections are kept in a list so that guards hold stable iterators.
#include "laburnumdyke/testing/standin/connections.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/socket_base.hpp>

namespace laburnumdyke {

namespace asio = boost::asio;
using asio::ip::tcp;

void
connection_set::CloseAll()
{
  for (connection& open : mOpen) {
    CloseSocket(*open.mSocket);
  }
}

void
connection_set::CloseIdle()
{
  for (connection& open : mOpen) {
    if (open.mIdle) {
      CloseSocket(*open.mSocket);
    }
  }
}

connection_guard::connection_guard(connection_set& aSet, tcp::socket& aSocket)
  : mSet(aSet)
  , mPlace(aSet.mOpen.insert(aSet.mOpen.end(), connection{ &aSocket, true }))
{
}

connection_guard::~connection_guard()
{
  mSet.mOpen.erase(mPlace);
}

std::optional<std::string>
Listen(tcp::acceptor& aAcceptor, const endpoint& aAddress)
{
  boost::system::error_code failure;
  asio::ip::address address =
    asio::ip::make_address(aAddress.mAddress, failure);
  tcp::endpoint local(address, aAddress.mPort);
  if (!failure) {
    aAcceptor.open(local.protocol(), failure);
  }
  if (!failure) {
    aAcceptor.set_option(asio::socket_base::reuse_address(true), failure);
  }
  if (!failure) {
    aAcceptor.bind(local, failure);
  }
  if (!failure) {
    aAcceptor.listen(asio::socket_base::max_listen_connections, failure);
  }
  if (failure) {
    return "cannot listen on " + aAddress.Text() + ": " + failure.message();
  }
  return std::nullopt;
}

void
CloseSocket(tcp::socket& aSocket)
{
  boost::system::error_code ignored;
  aSocket.shutdown(tcp::socket::shutdown_both, ignored);
  aSocket.close(ignored);
}

} // namespace laburnumdyke
