#pragma once

#include <string>

#include "chervilspar/http/server.h"

#include "tests/job_entry/fake_store.h"

namespace chervilspar::soak {

/// Serves a `FakeStore` over HTTP, in the platform's format.
class StoreServer final : public http::Handler {
 public:
  explicit StoreServer(job_entry::FakeStore& store) : link(store) {}

  boost::asio::awaitable<http::Response> Handle(http::Request request,
                                                std::shared_ptr<http::CancelToken>) override;

  /// Misbehaves for all entries; see its fields.
  job_entry::FakeStoreLink link;

 private:
  boost::asio::awaitable<http::Response> Append(const http::Request& request);
  boost::asio::awaitable<http::Response> Read(const http::Request& request);
  boost::asio::awaitable<http::Response> ReadNewest(const http::Request& request);
  boost::asio::awaitable<http::Response> Join(const http::Request& request);
  boost::asio::awaitable<http::Response> Members();
};

}  // namespace chervilspar::soak
