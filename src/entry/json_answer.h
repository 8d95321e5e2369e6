#pragma once

#include <boost/json/value.hpp>

#include "chervilspar/base/result.h"
#include "chervilspar/http/message.h"

namespace chervilspar::entry {

/// An answer with a JSON body.
http::Response JsonAnswer(const boost::json::value& body, unsigned status = 200);

/// An error answer for a reason; the field that is wrong goes into the body, too.
http::Response ReasonAnswer(const Reason& reason, unsigned status);

}  // namespace chervilspar::entry
