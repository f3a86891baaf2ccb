// Compiles the non-template code of Asio and Beast once for all programs. With
// BOOST_ASIO_SEPARATE_COMPILATION and BOOST_BEAST_SEPARATE_COMPILATION their
// headers only declare these functions, which are defined here.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
