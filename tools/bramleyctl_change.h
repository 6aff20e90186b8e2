// Sends one configuration change and waits until it is in force.
#ifndef BRAMLEYBANK_TOOLS_BRAMLEYCTL_CHANGE_H_
#define BRAMLEYBANK_TOOLS_BRAMLEYCTL_CHANGE_H_

#include <string>

#include "bramleyctl_exit.h"

namespace bramleybank {

class CtlClient;
struct CtlOptions;

/// Sends the change in a JSON file. The id is taken from the command line, else
/// from the file, else derived from the content, so that a file that is sent
/// again is not applied twice.
CtlExit RunChange(CtlClient* client, const CtlOptions& options);

/// Marks an endpoint as leaving. Without --id each run has a random id, because
/// the endpoint may have been removed and added since an earlier run.
CtlExit RunDrainEndpoint(CtlClient* client, const CtlOptions& options);

/// Prints on which members a configuration number is in force.
CtlExit RunConfirmations(CtlClient* client, const CtlOptions& options);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_TOOLS_BRAMLEYCTL_CHANGE_H_
