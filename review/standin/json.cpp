// The sources of Boost.JSON, which is used header-only here.
#include <boost/json/src.hpp>
