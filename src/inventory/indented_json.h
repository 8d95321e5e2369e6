#pragma once

#include <string>

#include <boost/json/value.hpp>

namespace chervilspar::inventory {

/// Writes JSON for people: one line for each object of a list, so that two versions of an inventory
/// compare well line by line.
std::string SerializeIndented(const boost::json::value& document);

}  // namespace chervilspar::inventory
