// Prompt parts that are suspected of crashing endpoints (queries of death), as
// all gateways of a service know them together.
#ifndef BRAMLEYBANK_SRC_PROMPT_SUSPECTS_H_
#define BRAMLEYBANK_SRC_PROMPT_SUSPECTS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "prompt_part.h"

namespace bramleybank {

/// A part that was in a request on which an endpoint crashed.
struct ChargedPart {
  PromptPartHash part = 0;
  /// Crashes of this part that the observer had known for kCrashSettleTime
  /// when the crash happened.
  int known_crashes = 0;

  friend bool operator==(const ChargedPart&, const ChargedPart&) = default;
};

/// One crash of an endpoint, as one gateway saw it.
struct CrashReport {
  /// Address of the endpoint. Its id changes with each restart.
  std::string endpoint;
  int weight = 0;
  std::vector<ChargedPart> parts;

  friend bool operator==(const CrashReport&, const CrashReport&) = default;
};

/// Evidence against one prompt part.
struct PromptSuspect {
  PromptPartHash part = 0;
  /// Sum of the weights of the crashes since an answer has begun, each with the
  /// strongest report of it.
  int weight = 0;
  /// Weight of the last crash.
  int latest_weight = 0;
  /// All crashes, and those since an answer has begun.
  int crashes = 0;
  int open_crashes = 0;
  /// A gateway has seen an answer to this part begin.
  bool is_known = false;
  /// Requests that were let through as trials since the quarantine began.
  int trials = 0;
  /// Address of the endpoint that crashed last.
  std::string endpoint;
  /// Other parts that were charged in every crash before the last one.
  std::vector<PromptPartHash> companions;
  /// Other parts that were charged in the last crash.
  std::vector<PromptPartHash> latest;

  bool IsQuarantined() const;
  /// @returns whether an answer has begun since the last crash.
  bool IsCleared() const { return weight == 0; }
  friend bool operator==(const PromptSuspect&, const PromptSuspect&) = default;
};

/// Bounded list of suspects of one service, in the order of their first crash.
/// All changes can be applied twice without harm, since a gateway cannot know
/// whether a write that was not answered has taken effect.
class PromptSuspectList {
 public:
  /// Adds the evidence of a crash. Reports of a crash that happened before its
  /// observer knew the previous one belong to the same event, such as the loss
  /// of a failure domain, and add no weight beyond that of its strongest
  /// report. Repeated crashes of one endpoint add none.
  void AddCrash(const CrashReport& report);
  /// Removes all weight of a part to which an answer has begun. The part stays
  /// listed, so that no gateway suspects it instead of a part that is not
  /// known.
  /// @param known_crashes crashes that were known when the answer began; with
  /// later ones the part only becomes known.
  void Clear(PromptPartHash part, int known_crashes);
  void MarkKnown(PromptPartHash part);
  /// Records a trial of a quarantined part.
  /// @param trials number of earlier trials.
  /// @returns false when the part is not quarantined or had another trial.
  bool ClaimTrial(PromptPartHash part, int trials);
  /// Removes a suspect that is not quarantined.
  void Forget(PromptPartHash part);
  /// Removes a suspect, quarantined or not, with no more crashes than these.
  void Remove(PromptPartHash part, int crashes);
  /// Adds what another list of the same service knows, after one of them has
  /// lost changes. Of a part that is in both, the entry with more crashes is
  /// newer; of two with the same crashes, the cleared one or else the heavier
  /// one. Quarantined parts displace others when the list is full.
  void Merge(const PromptSuspectList& other);

  const PromptSuspect* Find(PromptPartHash part) const;
  /// @returns the quarantined parts because of which a request must not be
  /// sent: those of which it also has all companions that may be to blame
  /// instead.
  std::vector<PromptPartHash> FindBlocking(
      std::span<const PromptPartHash> parts) const;
  const std::vector<PromptSuspect>& suspects() const { return m_suspects; }

  /// @returns the list as the value of a row of the metadata store.
  std::string Encode() const;
  /// Skips what is malformed or beyond the bounds.
  static PromptSuspectList Decode(std::string_view text);

  friend bool operator==(const PromptSuspectList&,
                         const PromptSuspectList&) = default;

 private:
  PromptSuspect* FindMutable(PromptPartHash part);
  void MergeSuspect(const PromptSuspect& suspect);
  void Charge(const CrashReport& report,
              const ChargedPart& charged,
              const std::vector<PromptPartHash>& others);
  bool IsBlocking(const PromptSuspect& suspect,
                  std::span<const PromptPartHash> parts) const;
  void EvictWeakest();

  std::vector<PromptSuspect> m_suspects;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_PROMPT_SUSPECTS_H_
