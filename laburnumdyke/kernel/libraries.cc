// Compiles what of Asio and Beast is no template, once for every program.
// With BOOST_ASIO_SEPARATE_COMPILATION and BOOST_BEAST_SEPARATE_COMPILATION
// their headers declare these functions and leave the bodies to this file.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
