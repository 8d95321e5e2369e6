#include "cli/operator_client.h"

#include <boost/json/parse.hpp>

#include "cli/json_view.h"

namespace chervilspar::cli {

boost::json::value Answer::Json() const {
  boost::json::error_code error;
  boost::json::value json = boost::json::parse(this->body, error);
  return error ? boost::json::value() : json;
}

ExitCode Answer::FailureCode() const {
  if (this->status == 0) {
    return this->verdict == Verdict::kNotRun ? ExitCode::kUnreachable : ExitCode::kUnknown;
  }
  if (this->status == 503) {
    return ExitCode::kUnreachable;
  }
  return this->status < 500 ? ExitCode::kRefused : ExitCode::kUnknown;
}

std::string Answer::FailureText() const {
  if (this->status == 0) {
    const std::string what = this->verdict == Verdict::kNotRun
                                 ? "no entry could be reached"
                                 : "no answer came, and the call may have taken effect";
    return what + " (last asked: " + this->address + "): " + ToString(this->reason);
  }
  const boost::json::value json = this->Json();
  const JsonView view(json);
  const std::string message = view.At("message").Text();
  const std::string field = view.At("field").Text();
  return this->address + " answered " + std::to_string(this->status) + ": " +
         (field.empty() ? "" : field + ": ") + (message.empty() ? this->body : message);
}

Answer OperatorClient::Call(const std::string& address, const std::string& method,
                            const std::string& target, const std::string& body) const {
  http::Request request;
  request.method = method;
  request.target = target;
  request.headers.Add("Authorization", "Bearer " + this->options.operator_key);
  if (!body.empty()) {
    request.headers.Add("Content-Type", "application/json");
  }
  request.body = body;
  const http::Exchange exchange = this->connection.Call(address, request, this->options.timeout);
  Answer answer;
  answer.address = address;
  answer.verdict = exchange.verdict;
  answer.reason = exchange.reason;
  if (exchange.response) {
    answer.status = exchange.response->status;
    answer.body = exchange.response->body;
  }
  return answer;
}

Answer OperatorClient::CallAny(const std::string& method, const std::string& target,
                               const std::string& body) const {
  Answer answer;
  answer.reason = Reason{ErrorCode::kInvalidArgument, "--entry", "no entry was given"};
  for (const std::string& address : this->options.entries) {
    answer = this->Call(address, method, target, body);
    const bool is_read = method == "GET";
    if (answer.status != 0 || (answer.verdict != Verdict::kNotRun && !is_read)) {
      return answer;
    }
  }
  return answer;
}

}  // namespace chervilspar::cli
