// One gateway's view of the suspects of one service: its own evidence, and the
// row through which all gateways share theirs.
#ifndef BRAMLEYBANK_SRC_SUSPECT_TRACKER_H_
#define BRAMLEYBANK_SRC_SUSPECT_TRACKER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "begun_parts.h"
#include "hooks.h"
#include "metadata_store.h"
#include "prompt_suspects.h"
#include "suspect_memory.h"

namespace bramleybank {

/// How a crash was judged.
enum class CrashVerdict : uint8_t {
  kCharged,
  /// Several endpoints were lost at once; charged with less weight.
  kRelated,
  /// Answers to all parts of the request have begun since.
  kCleared,
  /// Too many crashes at once, or too many conflicts at the store.
  kDropped,
};

const char* NameOf(CrashVerdict verdict);

/// Holds no timer and makes no call: the owner calls Advance() and NextWrite()
/// at a regular interval while IsBusy(). Crashes are held for a moment, then
/// applied to the own view and, by compare-and-swap, to the row. The view is
/// the row with the changes that it does not contain yet, so that own evidence
/// counts while the store is away.
class SuspectTracker {
 public:
  struct Hooks {
    RandomHook random;
    /// Whether this gateway reads the store itself, and so sees the writes of
    /// others early.
    std::function<bool()> is_reader;
    std::function<void(CrashVerdict verdict, const CrashReport& report)>
        on_verdict;
    /// A part was quarantined, or is no longer suspected.
    std::function<void(const PromptSuspect& suspect)> on_quarantined;
    std::function<void(const PromptSuspect& suspect)> on_cleared;
    /// The row of a restored store lacks what this gateway knows.
    std::function<void()> on_row_outdated;
  };
  using TrialCallback = std::function<void(bool granted)>;

  explicit SuspectTracker(Hooks hooks) : m_hooks(std::move(hooks)) {}

  /// An attempt was cut off by its endpoint, whatever its parts.
  void OnLost(std::string_view endpoint, TimePoint now);
  /// An attempt was cut off before its first event.
  /// @param has_head whether the head of its answer had arrived.
  void OnCrash(std::span<const PromptPartHash> parts,
               std::string_view endpoint,
               bool has_head,
               TimePoint now);
  /// The first event of an answer to these parts has arrived.
  void OnBegun(std::span<const PromptPartHash> parts, TimePoint now);

  /// A row of another era than the last one replaces it. What the last one knew
  /// in addition stays in force and is written again.
  void OnRow(const StoreRow& row, TimePoint now);
  /// All rows of the store have been read.
  /// @param version of the store. If the last row has another era, there is no
  /// row any more.
  void OnAllRows(const std::string& key,
                 const StoreVersion& version,
                 TimePoint now);
  void Advance(TimePoint now);
  bool IsBusy() const;

  /// The write that is due now. OnWritten() must follow with its result.
  struct Write {
    std::string value;
    StoreVersion expected_version;

    friend bool operator==(const Write&, const Write&) = default;
  };
  std::optional<Write> NextWrite(TimePoint now);
  void OnWritten(StoreResult result, TimePoint now);

  std::vector<PromptPartHash> FindBlocking(
      std::span<const PromptPartHash> parts) const {
    return m_view.FindBlocking(parts);
  }
  /// @returns whether all these quarantined parts may have a trial.
  bool IsTrialDue(std::span<const PromptPartHash> blocking,
                  TimePoint now) const;
  /// @returns the time until all these quarantined parts may have a trial, zero
  /// if they may now; nothing if one of them is not suspected.
  std::optional<Duration> RemainingTime(
      std::span<const PromptPartHash> blocking,
      TimePoint now) const;
  /// Asks for the only trial of these parts. The callback runs once.
  void RequestTrial(std::span<const PromptPartHash> blocking,
                    TrialCallback callback,
                    TimePoint now);
  const PromptSuspectList& view() const { return m_view; }
  size_t begun_parts() const { return m_begun.size(); }

 private:
  struct ClearedPart {
    PromptPartHash part = 0;
    // Crashes that were known when the answer began.
    int known_crashes = 0;
  };
  struct KnownPart {
    PromptPartHash part = 0;
  };
  struct ForgottenPart {
    PromptPartHash part = 0;
  };
  struct TrialClaim {
    std::vector<std::pair<PromptPartHash, int>> parts;
    TrialCallback callback;
    // Whether the write under way contains it.
    bool is_written = false;
  };
  using Change = std::
      variant<CrashReport, ClearedPart, KnownPart, ForgottenPart, TrialClaim>;
  struct HeldCrash {
    CrashReport report;
    bool has_head = false;
    TimePoint at;
  };
  struct Loss {
    std::string endpoint;
    TimePoint at;
  };
  /// When this gateway learned of the state of a suspect.
  struct Knowledge {
    int crashes = 0;
    /// Crashes known before the last ones were learned.
    int earlier_crashes = 0;
    TimePoint crashes_at;
    int trials = 0;
    TimePoint trials_at;
    bool is_quarantined = false;
  };

  /// @returns whether a claim was possible; true for all other changes.
  static bool Apply(const Change& change, PromptSuspectList* list);
  int KnownCrashes(PromptPartHash part, TimePoint now) const;
  /// @returns whether an answer to this part has begun at some gateway.
  bool IsKnown(PromptPartHash part) const;
  void Judge(HeldCrash* crash, TimePoint now);
  /// @returns whether the report would quarantine a part that is known, without
  /// the head of an answer and while no other gateway can contradict.
  bool IsUnconfirmed(const CrashReport& report) const;
  size_t EndpointsLostAround(TimePoint at) const;
  /// @param is_urgent whether the write must not wait for a random moment.
  void AddChange(Change change, bool is_urgent, TimePoint now);
  void OnRestored(TimePoint now);
  /// @returns the row with what a restore took out of it.
  PromptSuspectList MergedRow() const;
  /// @returns whether the row has changed since the last write was made.
  bool HasNewerRow() const;
  void MarkKnownParts(TimePoint now);
  void ForgetOld(TimePoint now);
  void UpdateView(TimePoint now);
  void UpdateKnowledge(const PromptSuspect& suspect, TimePoint now);
  void RemoveWritten();
  void EndClaims(bool written);
  /// Drops the first weak report, or else the first change, not yet sent.
  void DropChanges();

  const Hooks m_hooks;
  PromptSuspectList m_row;
  StoreVersion m_row_version;
  bool m_row_exists = false;
  SuspectMemory m_memory;
  // m_row with m_memory and all changes that it does not contain yet.
  PromptSuspectList m_view;
  std::unordered_map<PromptPartHash, Knowledge> m_knowledge;
  BegunParts m_begun;
  std::vector<HeldCrash> m_held;
  std::deque<Loss> m_losses;

  // Changes that the row does not contain; the first m_sent are in the write
  // that is under way or whose row has not been received yet.
  std::deque<Change> m_changes;
  size_t m_sent = 0;
  bool m_is_writing = false;
  // Whether the write under way was made in an earlier era, so that the row may
  // lack it even if it was accepted.
  bool m_is_write_outdated = false;
  // Whether the last write had no answer and no row has arrived since.
  bool m_is_store_away = false;
  // Version of the row that the last write was based on.
  StoreVersion m_write_base;
  bool m_waits_for_row = false;
  int m_conflicts = 0;
  TimePoint m_next_write;
  // After a conflict, the time until which the newer row is awaited.
  TimePoint m_row_expected_until;
  std::optional<TimePoint> m_mark_at;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_SUSPECT_TRACKER_H_
