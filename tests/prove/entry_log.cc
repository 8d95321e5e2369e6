#include <string>
#include <utility>

#include "chervilspar/config_log/record_codec.h"

#include "tests/prove/entry_process.h"
#include "tests/prove/world.h"

namespace chervilspar::prove {

using config_log::AppendActions;
using config_log::AppendOutcome;
using config_log::AppendResult;
using config_log::FollowUpdate;
using config_log::KeyDigest;
using config_log::Record;

namespace {

constexpr Duration kPublishPatience = std::chrono::seconds(5);
constexpr Duration kWithdrawPatience = std::chrono::seconds(60);

std::function<void(AppendResult)> WhenAccepted(std::function<void()> done) {
  return [done = std::move(done)](AppendResult result) {
    if (done && result == AppendResult::kAccepted) {
      done();
    }
  };
}

}  // namespace

void EntryProcess::ReadLog() {
  const config_log::Offset from = this->follower.ReadFrom();
  this->world.Net().SendOnce(this->zone, kPlatform, [life = this->shared_from_this(), from] {
    if (life->world.Log().IsDown()) {
      return;
    }
    const config_log::ReadBatch batch = life->world.Log().Read(from);
    life->world.Net().SendOnce(kPlatform, life->zone, [life, batch, from] {
      life->Run([life, batch, from] {
        const bool is_too_old = batch.first > from;
        life->OnUpdate(is_too_old ? life->follower.OnTooOld(batch.first, batch.end, life->Now())
                                  : life->follower.OnBatch(batch, life->Now()));
      });
    });
  });
}

void EntryProcess::OnUpdate(const FollowUpdate& update) {
  if (update.changed) {
    this->AdoptState();
  }
  if (this->follower.HasReachedEnd()) {
    this->membership.OnReadToEnd();
    this->Refresh();
  }
  for (const config_log::FoldOutcome& outcome : update.outcomes) {
    this->OnAppends(this->appender.OnFolded(outcome, this->Now()));
  }
}

void EntryProcess::AdoptState() {
  const StatePtr state = this->Current();
  const membership::EntryList list = membership::EntryListOf(*state);
  this->overlay.OnState(*state);
  this->membership.OnFolded(state->next_offset);
  this->membership.OnConfiguration(list);
  this->quota.OnConfiguration(quota::LimitsOf(*state), this->Now());
  this->registry.OnConfiguration(list, state->inventory.service_rules.max_clock_skew);
  this->client.OnConfiguration(list);
  this->Refresh();
}

void EntryProcess::TellPeer(const EntryId& peer, config_log::Offset from) {
  const std::vector<config_log::LogRecord> tail = this->follower.TailFrom(from);
  if (!tail.empty()) {
    this->Send(peer, [tail](EntryProcess& to) { to.OnPeerTail(tail); });
    return;
  }
  this->Send(peer, [state = this->Current()](EntryProcess& to) { to.OnPeerState(state); });
}

void EntryProcess::OnPeerTail(const std::vector<config_log::LogRecord>& tail) {
  config_log::ReadBatch batch;
  batch.source = config_log::BatchSource::kPeer;
  batch.first = tail.front().offset;
  batch.end = tail.back().offset + 1;
  batch.records = tail;
  this->OnUpdate(this->follower.OnBatch(batch, this->Now()));
}

void EntryProcess::OnPeerState(const StatePtr& peer_state) {
  this->OnUpdate(this->follower.OnPeerState(*peer_state, this->Now()));
}

RecordId EntryProcess::NextRecordId() {
  return RecordId{this->self.id.text + "-" + std::to_string(this->self.incarnation.nonce) + "-" +
                  std::to_string(++this->last_record)};
}

void EntryProcess::Submit(const RecordId& subject, const std::vector<Record>& records,
                          Duration patience, std::function<void(AppendResult)> done) {
  if (done) {
    this->when_finished[subject] = std::move(done);
  }
  this->OnAppends(this->appender.Submit(subject, records, this->Now() + patience, this->Now()));
}

void EntryProcess::OnAppends(const AppendActions& actions) {
  for (const Record& record : actions.send) {
    this->AppendToLog(record);
  }
  for (const AppendOutcome& outcome : actions.finished) {
    this->world.Count(std::string("append: ") + ToString(outcome.result));
    if (outcome.reason) {
      this->world.Note("append of " + outcome.record.text + ": " + ToString(*outcome.reason));
    }
    const auto waiting = this->when_finished.find(outcome.record);
    if (waiting == this->when_finished.end()) {
      continue;
    }
    const std::function<void(AppendResult)> done = std::move(waiting->second);
    this->when_finished.erase(waiting);
    done(outcome.result);
  }
}

void EntryProcess::AppendToLog(const Record& record) {
  // The network may double the append, and lose the answer after it took effect.
  this->world.Net().Send(this->zone, kPlatform, [life = this->shared_from_this(), record] {
    World& world = life->world;
    const bool is_down = world.Log().IsDown();
    const config_log::Offset offset = is_down ? -1 : world.Log().Append(record, world.Sim().Now());
    world.Net().SendOnce(kPlatform, life->zone, [life, record, offset] {
      life->Run([life, record, offset] {
        if (offset < 0) {
          life->appender.OnFailure(record.id, life->Now(), life->world.Sim().Dice());
        } else {
          life->appender.OnAnswer(record.id, offset);
        }
      });
    });
  });
}

void EntryProcess::OnPublish(const Change& change,
                             const std::map<std::string, std::uint32_t>& limits) {
  const StatePtr state = this->Current();
  inventory::Inventory wanted = state->inventory;
  change(wanted);
  const RecordId id = this->NextRecordId();
  const auto records =
      config_log::MakePublishRecords(id, this->self.id, this->Wall(), MakePublish(*state, wanted));
  this->world.Ledger().Announce(id.text, state->version, limits);
  this->Submit(id, *records, kPublishPatience, {});
}

void EntryProcess::OnDeclareGone(const EntryId& entry) {
  const RecordId id = this->NextRecordId();
  this->Submit(id, {{id, this->self.id, this->Wall(), config_log::EntryGone{entry}}},
               kPublishPatience, {});
}

void EntryProcess::OnGiveKey(const KeyDigest& key, const TeamId& team, std::function<void()> done) {
  const RecordId id = this->NextRecordId();
  this->Submit(id, {{id, this->self.id, this->Wall(), config_log::KeyGiven{key, team}}},
               kPublishPatience, WhenAccepted(std::move(done)));
}

void EntryProcess::OnWithdrawKey(const KeyDigest& key, std::function<void()> done) {
  this->overlay.Withdraw(key);
  const RecordId id = this->NextRecordId();
  this->Submit(id, {{id, this->self.id, this->Wall(), config_log::KeyWithdrawn{key}}},
               kWithdrawPatience, WhenAccepted(std::move(done)));
}

void EntryProcess::OnPeerWithdrawals(const std::set<KeyDigest>& keys) {
  for (const KeyDigest& key : keys) {
    this->overlay.Withdraw(key);
  }
  this->overlay.OnState(*this->Current());
}

void EntryProcess::ShareWithdrawals() {
  if (this->overlay.Pending().empty()) {
    return;
  }
  for (const EntryId& peer : this->membership.HeartbeatTargets()) {
    this->Send(peer,
               [keys = this->overlay.Pending()](EntryProcess& to) { to.OnPeerWithdrawals(keys); });
  }
}

void EntryProcess::WriteSnapshotIfDue() {
  if (!this->follower.IsSnapshotDue(this->Now())) {
    return;
  }
  const RecordId id = this->NextRecordId();
  const std::vector<Record> records =
      config_log::MakeSnapshotRecords(id, this->self.id, this->Wall(), *this->Current());
  this->follower.OnSnapshotWritten(this->Now());
  this->Submit(id, records, kPublishPatience, {});
}

}  // namespace chervilspar::prove
