// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.pgm;

import java.io.IOException;
import java.net.http.HttpResponse;

/** Starts a planned shutdown: the daemon admits no new requests and completes the open ones. */
final class Drain extends DaemonCommand {
  private static final int ACCEPTED = 202;

  @Override
  int call() throws IOException, InterruptedException {
    HttpResponse<String> response = post("/drain", null);
    if (response.statusCode() != ACCEPTED) {
      throw failure("POST", "/drain", response);
    }
    out().println(json ? response.body() : "draining; follow it with fawndrum status");
    return ExitCode.DONE;
  }
}
