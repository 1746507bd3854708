// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/**
 * What the operating system tells about this process.
 *
 * @param ageMs the time since it was started, in milliseconds
 * @param processorMs the processor time that it has used, in milliseconds
 * @param classArchives the names of the archives of classes that its JVM uses
 */
public record ProcessFacts(long ageMs, long processorMs, List<String> classArchives) {
  private static final Path STATUS = Path.of("/proc/self/stat");
  private static final Path UPTIME = Path.of("/proc/uptime");

  /** The files that are mapped into the memory of this process. */
  private static final Path MAPPED_FILES = Path.of("/proc/self/maps");

  /** Ending of the names of archives of classes. */
  private static final String ARCHIVE_SUFFIX = ".jsa";

  /** Unit of the times in the status, in milliseconds; the same on all Linux systems. */
  private static final long TICK_MS = 10;

  private static final double MS_PER_SECOND = 1_000;

  /** Fields of the status after the name of the program, which may contain blanks. */
  private static final int USER_TICKS = 11;

  private static final int SYSTEM_TICKS = 12;
  private static final int START_TICKS = 19;

  /**
   * Reads the facts; takes some milliseconds of processor time.
   *
   * @throws IOException if the operating system does not tell
   */
  public static ProcessFacts read() throws IOException {
    String status = Files.readString(STATUS);
    String[] fields = status.substring(status.lastIndexOf(')') + 2).split(" ");
    String uptime = Files.readString(UPTIME);
    double uptimeMs = Double.parseDouble(uptime.substring(0, uptime.indexOf(' '))) * MS_PER_SECOND;
    return new ProcessFacts(
        Math.round(uptimeMs) - ms(fields[START_TICKS]),
        ms(fields[USER_TICKS]) + ms(fields[SYSTEM_TICKS]),
        archives());
  }

  private static long ms(String ticks) {
    return Long.parseLong(ticks) * TICK_MS;
  }

  /** The JVM ignores an archive that does not fit, and says nothing. */
  private static List<String> archives() throws IOException {
    try (Stream<String> lines = Files.lines(MAPPED_FILES)) {
      return lines
          .filter(line -> line.endsWith(ARCHIVE_SUFFIX))
          .map(line -> line.substring(line.lastIndexOf('/') + 1))
          .distinct()
          .sorted()
          .toList();
    }
  }
}
