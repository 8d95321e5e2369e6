#pragma once

namespace chervilspar {

/// Whether a request may have run. Ordered from certain "no" over "unknown" to certain "yes".
enum class Verdict {
  /// No byte of the request can have reached an endpoint, or the endpoint itself said that it did
  /// not run the request. Sending it again is always safe.
  kNotRun,
  /// Something may have reached an endpoint and no whole answer came back. Sending it again is
  /// safe only for an idempotent request.
  kMayHaveRun,
  /// The whole answer of the endpoint was received.
  kCompleted,
};

/// The value of the `Chervilspar-Verdict` header: "not-run", "may-have-run" or "completed".
const char* ToString(Verdict verdict);

/// Follows one attempt on the wire and gives its verdict, which can only become less certain until
/// an answer settles it.
///
/// A write can fail after part of the request has left, so a failed write doesn't mean that nothing
/// was sent, and a retry could run the request twice. So the tracker is told before the first byte
/// is handed to the socket, and only a whole answer of the endpoint can settle the verdict
/// afterwards.
class VerdictTracker {
 public:
  /// Call before the first byte is given to the socket.
  void OnBeforeWrite();
  /// The endpoint's whole answer says that it refused to start the request.
  void OnRefusedByEndpoint();
  /// The endpoint's whole answer is here.
  void OnWholeAnswer();

  Verdict Current() const { return this->verdict; }

 private:
  Verdict verdict = Verdict::kNotRun;
};

}  // namespace chervilspar
