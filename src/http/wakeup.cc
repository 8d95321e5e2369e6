#include "chervilspar/http/wakeup.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace chervilspar::http {

namespace asio = boost::asio;

Wakeup::Wakeup(const asio::any_io_executor& executor) : timer(executor) {}

void Wakeup::Notify() {
  asio::dispatch(this->timer.get_executor(), [self = this->shared_from_this()] {
    self->notified = true;
    self->timer.cancel();
  });
}

asio::awaitable<void> Wakeup::WaitFor(Duration span) {
  if (!this->notified) {
    this->timer.expires_after(span);
    boost::system::error_code ignored;
    co_await this->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
  this->notified = false;
}

}  // namespace chervilspar::http
