#include "chervilspar/http/server.h"

#include <atomic>
#include <limits>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "chervilspar/base/assert.h"
#include "chervilspar/base/scope_guard.h"

#include "connection.h"
#include "connection_set.h"

namespace chervilspar::http {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

/// How often timeouts are looked at.
constexpr std::chrono::milliseconds kSweepInterval(100);
/// Wait after a failed accept, so that a process out of file descriptors doesn't spin.
constexpr std::chrono::milliseconds kAcceptBackOff(50);
/// Connections taken from the listen queue at once, so that the requests of earlier ones are
/// handled in between.
constexpr std::size_t kMaxTakenInATurn = 256;
/// How long a stopping server leaves an idle connection open for a request that may be on its way.
constexpr Duration kDrainIdleTime = std::chrono::seconds(1);

}  // namespace

/// The connections of one thread.
struct Shard {
  explicit Shard(asio::io_context& io) : io(&io) {}

  asio::io_context* io;
  ConnectionSet connections;
};

/// Lives as long as the server or any of its connections.
class Server::State : public std::enable_shared_from_this<Server::State> {
 public:
  State(const std::vector<asio::io_context*>& contexts, const ServerLimits& limits,
        Handler& handler, ServerObserver* observer)
      : shared(std::make_shared<ConnectionContext>(limits)) {
    this->shared->handler = &handler;
    this->shared->observer = observer;
    for (asio::io_context* io : contexts) {
      this->shards.push_back(std::make_unique<Shard>(*io));
    }
  }

  Status Open(const SocketAddress& wanted);
  void Start();
  void StopAccepting();
  void CloseAll();
  void CloseListener();

  std::shared_ptr<ConnectionContext> shared;
  ConnectionCounter counter;
  SocketAddress address;

 private:
  static asio::awaitable<void> Accept(std::shared_ptr<State> self,
                                      std::shared_ptr<tcp::acceptor> acceptor);
  static asio::awaitable<void> Sweep(std::shared_ptr<State> self, Shard& shard);
  static asio::awaitable<void> Serve(std::shared_ptr<State> self, Shard& shard, tcp::socket socket);
  void Take(tcp::socket socket, Shard& shard);
  void TakeBacklog(tcp::acceptor& acceptor, std::size_t max_count);
  Shard& NextShard();

  std::vector<std::unique_ptr<Shard>> shards;
  std::size_t next_shard = 0;
  /// Owned by the accepting coroutine, so that it ends with its io_context.
  std::weak_ptr<tcp::acceptor> listener;
  std::shared_ptr<tcp::acceptor> unstarted;
  std::atomic<bool> closed = false;
};

Status Server::State::Open(const SocketAddress& wanted) {
  error_code error;
  const tcp::endpoint endpoint(asio::ip::make_address(wanted.ip, error), wanted.port);
  auto acceptor = std::make_shared<tcp::acceptor>(*this->shards.front()->io);
  const auto attempt = [&error](auto&& step) {
    if (!error) {
      step();
    }
  };
  attempt([&] { acceptor->open(endpoint.protocol(), error); });
  attempt([&] { acceptor->set_option(tcp::acceptor::reuse_address(true), error); });
  attempt([&] { acceptor->bind(endpoint, error); });
  attempt([&] { acceptor->listen(asio::socket_base::max_listen_connections, error); });
  if (error) {
    return Reason{ErrorCode::kUnavailable, "http-address",
                  "can't listen at " + ToString(wanted) + ": " + error.message()};
  }
  this->address = {wanted.ip, acceptor->local_endpoint().port()};
  this->unstarted = std::move(acceptor);
  return Done{};
}

void Server::State::Start() {
  this->counter.SetListening(true);
  this->listener = this->unstarted;
  asio::co_spawn(*this->shards.front()->io,
                 Accept(this->shared_from_this(), std::move(this->unstarted)), asio::detached);
  for (const auto& shard : this->shards) {
    asio::co_spawn(*shard->io, Sweep(this->shared_from_this(), *shard), asio::detached);
  }
}

Shard& Server::State::NextShard() {
  this->next_shard = (this->next_shard + 1) % this->shards.size();
  return *this->shards[this->next_shard];
}

asio::awaitable<void> Server::State::Accept(std::shared_ptr<State> self,
                                            std::shared_ptr<tcp::acceptor> acceptor) {
  const ScopeGuard leave([&self] { self->counter.SetListening(false); });
  asio::steady_timer back_off(acceptor->get_executor());
  while (acceptor->is_open()) {
    Shard& shard = self->NextShard();
    tcp::socket socket(*shard.io);
    error_code error;
    co_await acceptor->async_accept(socket, asio::redirect_error(asio::use_awaitable, error));
    if (!error) {
      self->Take(std::move(socket), shard);
      self->TakeBacklog(*acceptor, kMaxTakenInATurn);
    } else if (acceptor->is_open()) {
      back_off.expires_after(kAcceptBackOff);
      co_await back_off.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
  }
}

void Server::State::Take(tcp::socket socket, Shard& shard) {
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  if (!this->counter.TryAdd(this->shared->limits.connections)) {
    static constexpr std::string_view kRefusal =
        "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\n"
        "Chervilspar-Verdict: not-run\r\nContent-Length: 0\r\n\r\n";
    this->shared->Report(BadInput::kTooManyConnections);
    socket.non_blocking(true, ignored);
    socket.write_some(asio::buffer(kRefusal), ignored);
    return;
  }
  asio::co_spawn(*shard.io, Serve(this->shared_from_this(), shard, std::move(socket)),
                 asio::detached);
}

asio::awaitable<void> Server::State::Serve(std::shared_ptr<State> self, Shard& shard,
                                           tcp::socket socket) {
  const auto connection =
      std::make_shared<Connection>(std::move(socket), self->shared, shard.connections);
  const ScopeGuard leave([&self] { self->counter.Remove(); });
  co_await connection->Run();
  connection->Close();
}

asio::awaitable<void> Server::State::Sweep(std::shared_ptr<State> self, Shard& shard) {
  asio::steady_timer timer(*shard.io);
  while (!self->closed || !shard.connections.IsEmpty()) {
    timer.expires_after(kSweepInterval);
    error_code error;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    shard.connections.CloseOverdue(self->shared->clock.Now());
    if (self->shared->draining && self->listener.expired()) {
      shard.connections.HastenIdle(self->shared->clock.Now() + kDrainIdleTime);
    }
  }
}

/// Connections in the listen queue are open in their callers' eyes, and a request may be in them.
/// Closing the listener would reset them. If only one were taken in each turn of a busy thread, the
/// queue would fill with connections whose callers have given up, and all others would wait behind
/// those.
void Server::State::TakeBacklog(tcp::acceptor& acceptor, std::size_t max_count) {
  error_code error;
  acceptor.non_blocking(true, error);
  for (std::size_t count = 0; count < max_count && !error; ++count) {
    Shard& shard = this->NextShard();
    tcp::socket socket(*shard.io);
    acceptor.accept(socket, error);
    if (!error) {
      this->Take(std::move(socket), shard);
    }
  }
}

void Server::State::StopAccepting() {
  this->shared->draining = true;
  asio::post(*this->shards.front()->io, [self = this->shared_from_this()] {
    if (const auto acceptor = self->listener.lock()) {
      self->TakeBacklog(*acceptor, std::numeric_limits<std::size_t>::max());
      error_code ignored;
      acceptor->close(ignored);
    }
  });
}

void Server::State::CloseListener() {
  this->closed = true;
  asio::post(*this->shards.front()->io, [self = this->shared_from_this()] {
    if (const auto acceptor = self->listener.lock()) {
      error_code ignored;
      acceptor->close(ignored);
    }
  });
}

void Server::State::CloseAll() {
  for (const auto& shard : this->shards) {
    asio::post(*shard->io,
               [self = this->shared_from_this(), &shard] { shard->connections.CloseAll(); });
  }
}

Result<std::unique_ptr<Server>> Server::Listen(const std::vector<asio::io_context*>& contexts,
                                               const SocketAddress& address,
                                               const ServerLimits& limits, Handler& handler,
                                               ServerObserver* observer) {
  CHERVILSPAR_ASSERT(!contexts.empty());
  auto state = std::make_shared<State>(contexts, limits, handler, observer);
  const Status opened = state->Open(address);
  if (!opened) {
    return opened.LastReason();
  }
  state->Start();
  return std::unique_ptr<Server>(new Server(std::move(state)));
}

Server::Server(std::shared_ptr<State> state) : state(std::move(state)) {}

Server::~Server() { this->state->CloseListener(); }

SocketAddress Server::Address() const { return this->state->address; }

std::size_t Server::ConnectionCount() const { return this->state->counter.Count(); }

void Server::BeginDrain() { this->state->shared->draining = true; }

void Server::StopAccepting() { this->state->StopAccepting(); }

bool Server::WaitUntilDrained(Duration timeout) {
  return this->state->counter.WaitForZero(timeout);
}

void Server::CloseAll() { this->state->CloseAll(); }

}  // namespace chervilspar::http
