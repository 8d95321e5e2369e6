#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "chervilspar/http/wakeup.h"

#include "job_entry/context.h"
#include "job_entry/record_relay.h"

namespace chervilspar::job_entry {

/// Queues records to be appended. Appends run one at a time, and the records that wait share the
/// next one.
///
/// A partition of the store executes appends one after the other, however small they are. With an
/// append for each record, a slow store would refuse most of them.
class RecordQueue : public std::enable_shared_from_this<RecordQueue> {
 public:
  using Append =
      std::function<boost::asio::awaitable<WriteVerdict>(std::vector<KeyedRecord> records)>;

  RecordQueue(const Context& context, Append append);

  /// Returns the verdict of the append that contained the records.
  boost::asio::awaitable<WriteVerdict> Write(std::vector<KeyedRecord> records);

 private:
  struct PendingWrite {
    std::vector<KeyedRecord> records;
    std::shared_ptr<http::Wakeup> wakeup;
    std::optional<WriteVerdict> verdict;
  };

  boost::asio::awaitable<void> Run(std::shared_ptr<RecordQueue> self);
  /// Takes the writes that share the next append.
  std::vector<std::shared_ptr<PendingWrite>> TakeBatch();

  const Context context;
  const Append append;
  std::deque<std::shared_ptr<PendingWrite>> waiting;
  bool is_running = false;
};

}  // namespace chervilspar::job_entry
