// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;

/**
 * After a loss of power the hosts of a large site did not serve in time, because each start took
 * too much processor time: binding JSON to classes by reflection was a tenth of it, which no caller
 * needs. Judged by the classes that the JVM loads, not by time.
 */
class StartWorkTest {
  /** Id of the line of a host that has what it needs to serve callers. */
  private static final String SERVES = "FAWN0106";

  /** Classes that inspect others, or are made for that. */
  private static final List<String> REFLECTIVE =
      List.of(
          "com.fasterxml.jackson.databind.introspect.",
          "com.fasterxml.jackson.databind.ObjectMapper",
          "jdk.internal.reflect.GeneratedMethodAccessor");

  @TempDir(factory = KeptFolders.class, cleanup = CleanupMode.ON_SUCCESS)
  private Path folder;

  @Test
  void aStartThatManyHostsMakeAtOnceBindsNoJsonByReflection() throws Exception {
    Path classLog = folder.resolve("classes.log");
    List<String> options = new ArrayList<>(HostProcess.OPTIONS);
    // As in the deploy file; the flight recorder inspects event types.
    options.add("-Dio.netty.jfr.enabled=false");
    options.add("-Xlog:class+load:file=" + classLog);
    SoakLoop loops = new SoakLoop();
    PowerLossSite site = new PowerLossSite(loops, 1, 2, 1, false);
    try {
      site.start(folder, options).toCompletionStage().toCompletableFuture().join();
      HostProcess host = site.hosts().get(0);
      host.start();
      while (!serves(host) && !host.exitedUnexpectedly()) {
        Thread.onSpinWait();
      }
      assertTrue(serves(host), "ended, log in " + folder);
    } finally {
      site.close();
      loops.close();
    }
    assertEquals(List.of(), reflectiveClasses(classLog));
  }

  private static boolean serves(HostProcess host) {
    return host.logMentions(SERVES);
  }

  private static List<String> reflectiveClasses(Path classLog) throws Exception {
    try (Stream<String> lines = Files.lines(classLog)) {
      return lines.filter(line -> REFLECTIVE.stream().anyMatch(line::contains)).toList();
    }
  }
}
