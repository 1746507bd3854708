// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.fawndrum.coordination.backpressure.HoldLimits;
import org.fawndrum.errors.BadSettingsException;
import org.fawndrum.internal.log.HostLog;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Settings that change while a host runs, and invalid settings. */
class SettingsWatchTest {
  @TempDir Path folder;

  private static String text(String platform, int revokeMs) {
    return """
        { // settings
          "host": "h-1", "zone": "a", "callers": "127.0.0.1:1", "readiness": "127.0.0.1:2",
          "peers": "127.0.0.1:3", "metrics": "127.0.0.1:4", "platform": "%s",
          "linkMegabits": 1000, "seeds": ["10.0.0.1:9"],
          "bounds": { "revokeMs": %d, "drainMs": 2000, "graceS": 8, "retryRatio": 0.2,
            "retrySlack": 100, "retryWindowS": 10, "streamPassMs": 120 }
        }
        """
        .formatted(platform, revokeMs);
  }

  private Path write(String text) throws Exception {
    return Files.writeString(folder.resolve("s.json"), text);
  }

  @Test
  void seedsUseThePeerPort() throws Exception {
    RelaySettings settings = new RelaySettingsReader(write(text("127.0.0.1:5", 5_000))).read();
    assertEquals("10.0.0.1:3", settings.seeds().get(0).toString());
  }

  @Test
  void allFaultsAreReported() throws Exception {
    Path file = write(text("somewhere", 0));
    BadSettingsException bad =
        assertThrows(BadSettingsException.class, () -> new RelaySettingsReader(file).read());
    assertEquals(2, bad.faults().size());
  }

  private Path writeWithHold(String hold) throws Exception {
    return write(
        text("127.0.0.1:5", 5_000).replace("\"bounds\"", "\"hold\": " + hold + ", \"bounds\""));
  }

  @Test
  void limitsOfHeldBytesHaveDefaults() throws Exception {
    assertEquals(
        HoldLimits.DEFAULT,
        new RelaySettingsReader(write(text("127.0.0.1:5", 5_000))).read().hold());
    HoldLimits limits =
        new RelaySettingsReader(writeWithHold("{ \"unreadMs\": 900 }")).read().hold();
    assertEquals(900, limits.unreadMs());
    assertEquals(HoldLimits.DEFAULT_TOTAL_BYTES, limits.totalBytes());
  }

  /** One caller must not be able to use all memory, and a lease must outlast an unread answer. */
  @Test
  void faultyLimitsOfHeldBytesAreReported() throws Exception {
    for (String hold :
        List.of(
            "{ \"totalBytes\": 1048576, \"callerBytes\": 1048577, \"answerBytes\": 1024 }",
            "{ \"unreadMs\": 3000 }",
            "{ \"totalBytes\": 0, \"answerBytes\": 1024, \"callerBytes\": 1024 }",
            "{ \"total\": 1048576 }")) {
      Path file = writeWithHold(hold);
      BadSettingsException bad =
          assertThrows(BadSettingsException.class, () -> new RelaySettingsReader(file).read());
      assertEquals(1, bad.faults().size(), bad.getMessage());
    }
  }

  @Test
  void onlyChangedAndValidSettingsAreApplied() throws Exception {
    Path file = write(text("127.0.0.1:5", 5_000));
    List<Long> applied = new ArrayList<>();
    SettingsWatch watch =
        new SettingsWatch(
            file,
            new RelaySettingsReader(file).read(),
            newer -> applied.add(newer.bounds().revokeMs()),
            new HostLog("test"));
    watch.read();
    write(text("127.0.0.1:5", 4_000));
    watch.read();
    write("{ broken");
    watch.read();
    write(text("127.0.0.1:5", 3_000));
    watch.read();
    assertEquals(List.of(4_000L, 3_000L), applied);
  }
}
