// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.fawndrum.errors.BadSettingsException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** All errors of a settings file are reported together. */
class SettingsReaderTest {
  private static final String VALID =
      """
      {
        // a comment
        "host": "a-1", "zone": "a",
        "callers": { "ip": "127.0.0.1", "port": 1 },
        "operators": { "ip": "127.0.0.1", "port": 2 },
        "peers": { "ip": "127.0.0.1", "port": 3 },
        "platform": { "ip": "127.0.0.1", "port": 4 },
        "callerKeys": [ { "key": "12345678", "group": "w/c" } ],
      }
      """;

  @TempDir private Path folder;

  private HostSettings read(String text) throws IOException {
    Path file = folder.resolve("settings.json");
    Files.writeString(file, text);
    return new SettingsReader(file).read();
  }

  private List<SettingsFault> faults(String text) {
    return assertThrows(BadSettingsException.class, () -> read(text)).faults();
  }

  @Test
  void validSettingsMayContainComments() throws IOException {
    HostSettings settings = read(VALID);
    assertEquals("a-1", settings.host());
    assertEquals(10_000, settings.limits().incompleteMs());
  }

  @Test
  void allErrorsAreReportedTogether() {
    String invalid =
        VALID
            .replace("\"port\": 1 }", "\"port\": 99999, \"prot\": 1 }")
            .replace("\"a-1\"", "7")
            .replace("\"port\": 4", "\"port\": \"4\"")
            .replace("w/c", "w")
            .replace("\"zone\"", "\"zoone\"");
    List<String> keys = faults(invalid).stream().map(SettingsFault::key).sorted().toList();
    assertEquals(
        List.of(
            "callerKeys[0].group",
            "callers.port",
            "callers.prot",
            "host",
            "platform.port",
            "zone",
            "zoone"),
        keys);
  }

  @Test
  void keysAreNeverPrinted() {
    String text = faults(VALID.replace("12345678", "short!!")).toString();
    assertFalse(text.contains("short!!"), text);
    assertTrue(text.contains("callerKeys[0].key"), text);
  }

  @Test
  void malformedJsonIsReportedWithItsLine() {
    assertEquals("line 3", faults("{\n\"host\": \"a\",\n!").get(0).key());
  }

  @Test
  void duplicateAddressIsReported() {
    assertEquals(1, faults(VALID.replace("\"port\": 2", "\"port\": 1")).size());
  }
}
