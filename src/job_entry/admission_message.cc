#include "job_entry/admission_message.h"

#include <cmath>
#include <cstdint>
#include <utility>

#include <boost/json.hpp>

#include "chervilspar/jobs/promised_room.h"

namespace chervilspar::job_entry {

namespace json = boost::json;

namespace {

/// Thousandths of a core per core; work is sent in cores times milliseconds to keep it short.
constexpr double kThousandths = 1000;
/// Larger values in a message are invalid.
constexpr double kMaxNumber = 1e15;

/// Work and times are rounded; fractions carry no information here.
std::int64_t Rounded(double value) {
  return std::isfinite(value)
             ? std::llround(std::min(std::abs(value), kMaxNumber)) * (value < 0 ? -1 : 1)
             : 0;
}

json::array PromiseRows(const std::vector<jobs::Promise>& promises) {
  json::array rows;
  for (const jobs::Promise& promise : promises) {
    rows.push_back(json::array{jobs::ToString(promise.job), promise.team.text, promise.queue,
                               Rounded(promise.work / kThousandths), Rounded(promise.due_in_ms)});
  }
  return rows;
}

/// Reads members and rows. Any value of another type makes the whole message invalid.
class Reader {
 public:
  explicit Reader(std::string_view text) {
    boost::system::error_code error;
    this->value = json::parse(text, error);
    this->is_valid = !error && this->value.is_object();
  }

  bool IsValid() const { return this->is_valid; }

  const json::value& Member(std::string_view name) {
    static const json::value kNone;
    const json::value* found = this->is_valid ? this->value.as_object().if_contains(name) : nullptr;
    this->is_valid = found != nullptr;
    return found == nullptr ? kNone : *found;
  }
  double Number(const json::value& value, double min) {
    boost::system::error_code error;
    const double number = value.is_number() ? value.to_number<double>(error) : NAN;
    this->Require(number >= min && number <= kMaxNumber);
    return this->is_valid ? number : 0;
  }
  std::string Text(const json::value& value) {
    this->Require(value.is_string());
    return value.is_string() ? std::string(value.as_string()) : std::string();
  }
  bool Flag(const json::value& value) {
    this->Require(value.is_bool());
    return value.is_bool() && value.as_bool();
  }
  jobs::JobId Job(const json::value& value) {
    const std::optional<jobs::JobId> id = jobs::ParseJobId(this->Text(value));
    this->Require(id.has_value());
    return id.value_or(jobs::JobId{});
  }
  /// Calls `read` with each row of the member, which has to be an array of `width` values.
  template <typename Read>
  void Rows(std::string_view name, std::size_t width, Read read) {
    const json::value& rows = this->Member(name);
    this->Require(rows.is_array());
    if (!this->is_valid) {
      return;
    }
    for (const json::value& row : rows.as_array()) {
      this->Require(row.is_array() && row.as_array().size() == width);
      if (!this->is_valid) {
        return;
      }
      read(row.as_array());
    }
  }
  std::vector<jobs::Promise> Promises(std::string_view name) {
    constexpr std::size_t kWidth = 5;
    std::vector<jobs::Promise> promises;
    this->Rows(name, kWidth, [&](const json::array& row) {
      promises.push_back({this->Job(row[0]), TeamId{this->Text(row[1])}, this->Text(row[2]),
                          this->Number(row[3], 0) * kThousandths,
                          this->Number(row[4], -kMaxNumber)});
    });
    this->Require(promises.size() <= jobs::kMaxPromises);
    return promises;
  }

 private:
  void Require(bool is_met) { this->is_valid = this->is_valid && is_met; }

  json::value value;
  bool is_valid = false;
};

}  // namespace

std::string EncodeAdmissionQuestion(const jobs::AdmissionQuestion& question) {
  return json::serialize(
      json::object{{"entry", question.entry}, {"refused", PromiseRows(question.refused)}});
}

std::string EncodeAdmissionOutlook(const jobs::AdmissionOutlook& outlook) {
  json::array pools;
  for (const jobs::PoolOutlook& pool : outlook.pools) {
    pools.push_back(json::array{pool.pool.text, Rounded(pool.cpu), Rounded(pool.reachable_cpu)});
  }
  json::array accounts;
  for (const jobs::AccountOutlook& account : outlook.accounts) {
    accounts.push_back(json::array{account.team.text, account.queue, account.due_cpu,
                                   Rounded(account.open_work / kThousandths),
                                   Rounded(account.on_time_work / kThousandths),
                                   Rounded(account.promised_work / kThousandths),
                                   Rounded(account.promised_until_ms), account.is_beyond_share});
  }
  return json::serialize(json::object{{"token", outlook.token},
                                      {"age_ms", Rounded(outlook.age_ms)},
                                      {"entries", outlook.entries},
                                      {"ask_again_ms", Rounded(outlook.ask_again_ms)},
                                      {"full", outlook.is_full},
                                      {"pools", std::move(pools)},
                                      {"accounts", std::move(accounts)},
                                      {"promises", PromiseRows(outlook.promises)}});
}

std::optional<jobs::AdmissionQuestion> DecodeAdmissionQuestion(std::string_view text) {
  Reader reader(text);
  jobs::AdmissionQuestion question;
  question.entry = reader.Text(reader.Member("entry"));
  question.refused = reader.Promises("refused");
  return reader.IsValid() ? std::optional(std::move(question)) : std::nullopt;
}

std::optional<jobs::AdmissionOutlook> DecodeAdmissionOutlook(std::string_view text) {
  constexpr std::size_t kPoolWidth = 3;
  constexpr std::size_t kAccountWidth = 8;
  constexpr double kMaxEntries = 10000;
  Reader reader(text);
  jobs::AdmissionOutlook outlook;
  outlook.token = static_cast<std::uint64_t>(reader.Number(reader.Member("token"), 0));
  outlook.age_ms = reader.Number(reader.Member("age_ms"), 0);
  outlook.entries =
      static_cast<std::uint32_t>(std::min(reader.Number(reader.Member("entries"), 1), kMaxEntries));
  outlook.ask_again_ms = reader.Number(reader.Member("ask_again_ms"), 0);
  outlook.is_full = reader.Flag(reader.Member("full"));
  reader.Rows("pools", kPoolWidth, [&](const json::array& row) {
    outlook.pools.push_back(
        {ServiceId{reader.Text(row[0])}, reader.Number(row[1], 0), reader.Number(row[2], 0)});
  });
  reader.Rows("accounts", kAccountWidth, [&](const json::array& row) {
    outlook.accounts.push_back(
        {TeamId{reader.Text(row[0])}, reader.Text(row[1]), reader.Number(row[2], 0),
         reader.Number(row[3], 0) * kThousandths, reader.Number(row[4], 0) * kThousandths,
         reader.Number(row[5], 0) * kThousandths, reader.Number(row[6], 0), reader.Flag(row[7])});
  });
  outlook.promises = reader.Promises("promises");
  return reader.IsValid() ? std::optional(std::move(outlook)) : std::nullopt;
}

}  // namespace chervilspar::job_entry
