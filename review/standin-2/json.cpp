// The one translation unit with the header-only build of Boost.JSON.
#include <boost/json/src.hpp>
