#include "chervilspar/http/blocking_client.h"
#include "chervilspar/platform/http_platform.h"

#include "platform_bodies.h"

namespace chervilspar::platform {

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kAccepted = 202;
constexpr unsigned kNotFound = 404;
constexpr unsigned kFirstServerError = 500;

Reason UnexpectedStatus(unsigned status) {
  if (status == kNotFound) {
    return {ErrorCode::kNotFound, "vm", "the platform does not know the VM"};
  }
  const ErrorCode code =
      status >= kFirstServerError ? ErrorCode::kUnavailable : ErrorCode::kInvalidArgument;
  return {code, "status", "the VM list answered " + std::to_string(status)};
}

class HttpVmListService final : public VmListService {
 public:
  HttpVmListService(const SocketAddress& address, const http::Routes& routes)
      : address(address), client({}, routes) {}

  Result<VmList> List(Duration timeout) override;
  Status Reboot(const VmId& vm, const StepId& step, Duration timeout) override;
  Result<VmDescription> Describe(const VmId& vm, Duration timeout) override;

 private:
  SocketAddress address;
  http::BlockingClient client;
};

Result<VmList> HttpVmListService::List(Duration timeout) {
  const http::Exchange exchange =
      this->client.Call(this->address, {"GET", "/v1/vms", {}, {}}, timeout);
  if (!exchange.response) {
    return exchange.reason;
  }
  if (exchange.response->status != kOk) {
    return UnexpectedStatus(exchange.response->status);
  }
  return ParseVmList(exchange.response->body);
}

Status HttpVmListService::Reboot(const VmId& vm, const StepId& step, Duration timeout) {
  http::Request request{"POST", "/v1/vms/" + vm.text + "/reboot", {}, {}};
  request.headers.Add("Chervilspar-Step-Id", step.text);
  const http::Exchange exchange = this->client.Call(this->address, std::move(request), timeout);
  if (!exchange.response) {
    return exchange.reason;
  }
  if (exchange.response->status != kAccepted) {
    return UnexpectedStatus(exchange.response->status);
  }
  return Done{};
}

Result<VmDescription> HttpVmListService::Describe(const VmId& vm, Duration timeout) {
  const http::Exchange exchange =
      this->client.Call(this->address, {"GET", "/v1/vms/" + vm.text, {}, {}}, timeout);
  if (!exchange.response) {
    return exchange.reason;
  }
  if (exchange.response->status != kOk) {
    return UnexpectedStatus(exchange.response->status);
  }
  Result<VmDescription> description = ParseVmDescription(exchange.response->body);
  if (description && description->vm != vm) {
    return Reason{ErrorCode::kMalformed, "/vm", "describes a VM other than the requested one"};
  }
  return description;
}

}  // namespace

std::unique_ptr<VmListService> MakeHttpVmListService(const SocketAddress& address,
                                                     const http::Routes& routes) {
  return std::make_unique<HttpVmListService>(address, routes);
}

}  // namespace chervilspar::platform
