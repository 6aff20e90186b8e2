// Sends one configuration change and waits until it is in force.
#ifndef BRAMLEYBANK_TOOLS_BRAMLEYCTL_CHANGE_H_
#define BRAMLEYBANK_TOOLS_BRAMLEYCTL_CHANGE_H_

#include <string>

#include "bramleyctl_exit.h"

namespace bramleybank {

class CtlClient;
struct CtlOptions;

/// Sends the change in a JSON file. Its id is that of the command line, else
/// that of the file, else one made from the content, so that the same file
/// sent again does nothing twice.
CtlExit RunChange(CtlClient* client, const CtlOptions& options);

/// Marks an endpoint as leaving. Each run has its own id, because the endpoint
/// may have been removed and added since an earlier run.
CtlExit RunDrainEndpoint(CtlClient* client, const CtlOptions& options);

/// Prints where a number is in force.
CtlExit RunConfirmations(CtlClient* client, const CtlOptions& options);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_TOOLS_BRAMLEYCTL_CHANGE_H_
