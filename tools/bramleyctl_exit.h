// Exit codes of bramleyctl.
#ifndef BRAMLEYBANK_TOOLS_BRAMLEYCTL_EXIT_H_
#define BRAMLEYBANK_TOOLS_BRAMLEYCTL_EXIT_H_

namespace bramleybank {

/// The values are documented in --help and must not change.
enum CtlExit : int {
  kCtlOk = 0,
  kCtlUsage = 2,
  kCtlSettings = 3,
  /// No target answered, and nothing can have been changed.
  kCtlNoAnswer = 4,
  /// Refused; nothing was changed.
  kCtlRefused = 5,
  /// It is unknown whether the change was accepted. Repeating the command is
  /// safe.
  kCtlOutcomeUnknown = 6,
  /// Accepted, but not in force on every live member within --wait.
  kCtlNotInForce = 7,
  /// `explain` was given a number or name that does not exist.
  kCtlUnknownCode = 8,
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_TOOLS_BRAMLEYCTL_EXIT_H_
