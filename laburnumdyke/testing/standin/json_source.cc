// Compiles Boost.JSON into the stand-ins where no target links its library;
// with the library linked this file is empty.
#if !defined(BOOST_JSON_DYN_LINK) && !defined(BOOST_JSON_STATIC_LINK)
#include <boost/json/src.hpp>
#endif
