// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.pgm;

import java.io.IOException;
import java.time.Instant;
import org.fawndrum.protocol.OperatorMessages.RefusedListView;
import org.fawndrum.protocol.OperatorMessages.RefusedView;
import org.fawndrum.protocol.OperatorViews;

/**
 * Lists the requests that a daemon on the platform rejects because they crash endpoints. The
 * daemon's address is that of its metrics.
 */
final class Refused extends DaemonCommand {
  @Override
  int call() throws IOException, InterruptedException {
    RefusedListView list = get(OperatorViews.REFUSED_PATH, RefusedListView.class);
    if (json) {
      printJson(list);
      return ExitCode.DONE;
    }
    for (RefusedView request : list.refused()) {
      String since = Instant.ofEpochMilli(request.sinceMs()).toString();
      out()
          .println(
              request.fingerprint()
                  + " since "
                  + since
                  + ": "
                  + String.join(" ", request.endpoints()));
    }
    return ExitCode.DONE;
  }
}
