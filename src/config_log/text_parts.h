#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "chervilspar/base/result.h"
#include "chervilspar/config_log/record.h"

namespace chervilspar::config_log {

/// Cuts text into parts of at most `max_bytes`, never within a UTF-8 character: a part travels as a
/// JSON string, which a codec would refuse or mend otherwise.
std::vector<std::string> SplitText(std::string_view text, std::size_t max_bytes);

/// The JSON text of a publish, which parts carry, and back.
std::string EncodePublish(const Publish& publish);
Result<Publish> DecodePublish(std::string_view text);

}  // namespace chervilspar::config_log
