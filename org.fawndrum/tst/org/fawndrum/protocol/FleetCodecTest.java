// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.fawndrum.coordination.engine.EngineJob;
import org.fawndrum.coordination.engine.EngineUpdate;
import org.fawndrum.coordination.membership.FleetMember;
import org.fawndrum.coordination.membership.FleetReport;
import org.fawndrum.protocol.wire.DaemonPlace;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.LatencyTargets;
import org.junit.jupiter.api.Test;

/** Reports round-trip through their messages, with times converted to the receiver's clock. */
class FleetCodecTest {
  private static final HostIdentity SELF = new HostIdentity("host-1", 7);
  private static final FleetMember MEMBER =
      new FleetMember(SELF, new HostAddress("10.0.0.1", 7_340), "zone-a", 200, true, 7_355);

  private static EngineJob job(long sentMs) {
    HostIdentity engine = new HostIdentity("engine-1", 0);
    return new EngineJob(5, engine, 9_000, 9_100, 2, true, new LatencyTargets(300, 250, 0), sentMs);
  }

  @Test
  void completeReportDescribesItsDaemon() {
    FleetReport report =
        new FleetReport(
            SELF,
            Optional.of(MEMBER),
            3,
            FleetReport.ALL_ZONES,
            true,
            List.of(new EngineUpdate.Placed(job(40)), new EngineUpdate.Prefilled(5)));
    FleetReport decoded = FleetCodec.read(FleetCodec.write(report, 100), 1_000);
    assertEquals(Optional.of(MEMBER), decoded.member());
    assertEquals(3, decoded.sequence());
    assertEquals(
        List.of(new EngineUpdate.Placed(job(940)), new EngineUpdate.Prefilled(5)),
        decoded.updates());
    assertTrue(decoded.concerns("zone-b"));
  }

  /** A daemon of an older build must not be asked for what it does not know. */
  @Test
  void aDaemonOfAnOlderBuildProxiesNothing() {
    DaemonPlace older = FleetCodec.write(MEMBER).toBuilder().clearProxyPort().build();
    assertEquals(FleetMember.NO_PROXY, FleetCodec.read(older).proxyPort());
  }

  @Test
  void reportAboutOneZoneConcernsOnlyThatZone() {
    FleetReport report =
        new FleetReport(
            SELF,
            Optional.empty(),
            4,
            "zone-b",
            false,
            List.of(new EngineUpdate.Completed(5, false), new EngineUpdate.Completed(6, true)));
    FleetReport decoded = FleetCodec.read(FleetCodec.write(report, 0), 0);
    assertEquals(report, decoded);
    assertTrue(decoded.concerns("zone-b"));
    assertFalse(decoded.concerns("zone-a"));
  }
}
