// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.pgm;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.fawndrum.protocol.TableCsv;
import org.fawndrum.settings.SettingsReader;
import org.fawndrum.state.TableRevision;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Verifies the sample files, and the help and exit codes of the command line. */
class SamplesTest {
  private static final Path SAMPLES = Path.of("..", "samples");

  @ParameterizedTest
  @ValueSource(strings = {"drava", "catastro", "demo"})
  void sampleTablesAreValid(String name) throws IOException {
    String csv = Files.readString(SAMPLES.resolve(name).resolve("table.csv"));
    assertFalse(TableCsv.changes(csv, TableRevision.EMPTY).isEmpty());
  }

  @ParameterizedTest
  @ValueSource(strings = {"hala-a", "hala-b"})
  void sampleSettingsAreValid(String name) {
    Path file = SAMPLES.resolve("demo").resolve(name + ".json");
    assertEquals(name + "-1", new SettingsReader(file).read().host());
  }

  private static int run(ByteArrayOutputStream out, String... args) {
    PrintStream both = new PrintStream(out);
    return Main.run(args, both, both);
  }

  @Test
  void everyCommandHasHelp() {
    for (CommandCatalog.Entry entry : CommandCatalog.ALL) {
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      assertEquals(ExitCode.DONE, run(out, (entry.name() + " --help").split(" ")));
      assertTrue(out.toString().contains(entry.summary()), entry.name());
    }
  }

  @Test
  void wrongUsageHasExitCode() {
    assertEquals(ExitCode.USAGE, run(new ByteArrayOutputStream(), "no-such-command"));
    assertEquals(ExitCode.USAGE, run(new ByteArrayOutputStream(), "explain"));
    assertEquals(
        ExitCode.UNREACHABLE,
        run(new ByteArrayOutputStream(), "status", "--daemon", "127.0.0.1:1"));
  }

  @Test
  void invalidSettingsAreReported() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    assertEquals(ExitCode.USAGE, run(out, "check", "no-such-file.json"));
    assertTrue(out.toString().contains("name a file that can be read"));
  }
}
