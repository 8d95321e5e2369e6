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

/// Records that wait to be appended: one append at a time, and what waits shares the next.
///
/// A partition of the store carries out one append after the other, however small. With an append
/// for each record, a slow store refuses most of them.
class RecordQueue : public std::enable_shared_from_this<RecordQueue> {
 public:
  using Append =
      std::function<boost::asio::awaitable<WriteVerdict>(std::vector<KeyedRecord> records)>;

  RecordQueue(const Context& context, Append append);

  boost::asio::awaitable<WriteVerdict> Write(std::vector<KeyedRecord> records);

 private:
  struct Waiting {
    std::vector<KeyedRecord> records;
    std::shared_ptr<http::Wakeup> wakeup;
    std::optional<WriteVerdict> verdict;
  };

  boost::asio::awaitable<void> Run(std::shared_ptr<RecordQueue> self);

  const Context context;
  const Append append;
  std::deque<std::shared_ptr<Waiting>> waiting;
  bool is_running = false;
};

}  // namespace chervilspar::job_entry
