#include <boost/json/serialize.hpp>

#include "chervilspar/config_log/key_digest.h"

#include "cli/command.h"
#include "cli/json_view.h"

namespace chervilspar::cli {

namespace {

/// The text of a key as it stands in a file: without the line end that editors add.
std::string TrimmedKey(std::string text) {
  const std::size_t end = text.find_last_not_of(" \t\r\n");
  text.resize(end == std::string::npos ? 0 : end + 1);
  return text;
}

Result<config_log::KeyDigest> DigestFor(const KeyWithdrawOptions& options) {
  if (options.key_file.empty()) {
    return config_log::ParseKeyDigest(options.digest);
  }
  Result<std::string> text = ReadFile(options.key_file);
  if (!text) {
    return text.LastReason();
  }
  const std::string key = TrimmedKey(std::move(text).Value());
  if (key.empty()) {
    return Reason{ErrorCode::kInvalidArgument, "--key-file", "the file holds no key"};
  }
  return config_log::DigestOf(key);
}

}  // namespace

ExitCode RunKeyGive(const KeyGiveOptions& options, const OperatorClient& client,
                    const Console& console) {
  std::string key;
  Result<config_log::KeyDigest> digest = config_log::ParseKeyDigest(options.digest);
  if (options.digest.empty()) {
    Result<std::string> generated = config_log::GenerateKey();
    if (!generated) {
      console.err << "chervilspar: " << ToString(generated.LastReason()) << "\n";
      return ExitCode::kInternal;
    }
    key = std::move(generated).Value();
    digest = config_log::DigestOf(key);
  }
  if (!digest) {
    console.err << "chervilspar: --digest: " << digest.LastReason().message << "\n";
    return ExitCode::kUsage;
  }
  const boost::json::object body{{"team", options.team}, {"digest", digest->hex}};
  const Answer answer = client.CallAny("POST", "/v1/operator/keys", boost::json::serialize(body));
  const ExitCode code = answer.IsOk() ? ExitCode::kOk : Fail(answer, console);
  if (code != ExitCode::kOk && code != ExitCode::kUnknown) {
    return code;
  }
  if (code == ExitCode::kUnknown) {
    console.err << "chervilspar: the key may be in force; withdraw its digest or try it\n";
  }
  console.err << "digest " << digest->hex << " for team " << options.team << "\n";
  if (!key.empty()) {
    console.err << "the key is shown this once and kept nowhere:\n";
    console.out << key << "\n";
  }
  return code;
}

ExitCode RunKeyWithdraw(const KeyWithdrawOptions& options, const OperatorClient& client,
                        const Console& console) {
  const Result<config_log::KeyDigest> digest = DigestFor(options);
  if (!digest) {
    console.err << "chervilspar: " << ToString(digest.LastReason()) << "\n";
    return ExitCode::kUsage;
  }
  // Handed to every entry given: each that hears of it stops the key at once, also when zones are
  // cut off from each other, and a withdrawal twice does no harm.
  Answer last;
  std::size_t applied = 0;
  for (const std::string& address : client.Entries()) {
    last = client.Call(address, "DELETE", "/v1/operator/keys/" + digest->hex);
    if (!last.IsOk()) {
      console.err << "chervilspar: " << last.FailureText() << "\n";
      continue;
    }
    ++applied;
    const boost::json::value json = last.Json();
    const bool is_logged = JsonView(json).At("logged").Truth();
    console.out << address << ": withdrawn, "
                << (is_logged ? "in the log" : "on its way to the log") << "\n";
  }
  if (applied == 0) {
    return last.FailureCode();
  }
  return applied == client.Entries().size() ? ExitCode::kOk : ExitCode::kPartial;
}

}  // namespace chervilspar::cli
