// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import org.fawndrum.coordination.crash.AnsweredRequest;
import org.fawndrum.coordination.crash.CrashUpdate;
import org.fawndrum.coordination.crash.EndpointCrash;
import org.fawndrum.coordination.crash.ExecutionLease;
import org.fawndrum.coordination.crash.InconclusiveRuns;
import org.fawndrum.coordination.crash.RejectedRequest;
import org.fawndrum.coordination.crash.RequestFingerprint;
import org.fawndrum.state.HostIdentity;
import org.junit.jupiter.api.Test;

/** Crash updates round-trip through their messages unchanged. */
class CrashCodecTest {
  private static final long NOW_MS = 50_000;
  private static final RequestFingerprint REQUEST = new RequestFingerprint(7, 8, 9);
  private static final HostIdentity HOST = new HostIdentity("host-1", 3);

  @Test
  void updatesRoundTripUnchanged() {
    CrashUpdate updates =
        new CrashUpdate(
            List.of(
                new EndpointCrash(
                    new HostIdentity("e-1", 1_000),
                    NOW_MS - 700,
                    NOW_MS - 400,
                    Set.of(REQUEST),
                    Set.of(RequestFingerprint.ofPart("pool", 0xf1)))),
            List.of(new AnsweredRequest(REQUEST, NOW_MS - 30)),
            List.of(new RejectedRequest(REQUEST, NOW_MS - 20, List.of("e-1#1000"))),
            List.of(new ExecutionLease(REQUEST, HOST, NOW_MS - 10)),
            List.of(new InconclusiveRuns(REQUEST, HOST, 2, NOW_MS - 5)),
            1);
    assertEquals(updates, CrashCodec.read(CrashCodec.write(updates, false, NOW_MS), NOW_MS));
  }
}
