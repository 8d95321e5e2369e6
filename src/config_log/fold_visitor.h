#pragma once

#include <optional>

#include "chervilspar/config_log/folder.h"

namespace chervilspar::config_log {

/// What the fold decided about one body.
struct FoldDecision {
  FoldVerdict verdict = FoldVerdict::kAccepted;
  std::optional<Reason> reason;
  /// The record that the outcome names, when it isn't the folded one.
  std::optional<RecordId> subject;
};

FoldDecision Accept();
FoldDecision Reject(ErrorCode code, std::string message);

/// Decides about each kind of body and changes the folder's state when it accepts.
class FoldVisitor {
 public:
  FoldVisitor(Folder& folder, const Record& record) : folder(folder), record(record) {}

  FoldDecision operator()(const Publish& body);
  FoldDecision operator()(const PublishPart& body);
  FoldDecision operator()(const KeyGiven& body);
  FoldDecision operator()(const KeyWithdrawn& body);
  FoldDecision operator()(const VmsObserved& body);
  FoldDecision operator()(const StepClaimed& body);
  FoldDecision operator()(const StepActing& body);
  FoldDecision operator()(const StepTakenOver& body);
  FoldDecision operator()(const StepDone& body);
  FoldDecision operator()(const StepWithdrawn& body);
  FoldDecision operator()(const SnapshotChunk& body);
  FoldDecision operator()(const EntryGone& body);

 private:
  /// Why the claim can't stand; nothing when it can.
  std::optional<Reason> FindClaimFault(const StepClaimed& body) const;
  std::optional<Reason> FindTargetFault(const StepClaimed& body) const;
  std::optional<Reason> FindBudgetFault(const StepClaimed& body) const;
  /// Frees the step's VM.
  void EndStep(const Step& step);
  void EvictOldestPending();

  Folder& folder;
  const Record& record;
};

}  // namespace chervilspar::config_log
