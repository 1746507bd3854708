// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import java.io.IOException;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Processor time of processes by the names of their threads, from one call to the next: what a
 * start spends, and what runs beside it. Threads that ended between two calls are left out.
 * Confined to one thread.
 */
final class ThreadTimes {
  private static final Path PROCESSES = Path.of("/proc");

  /** Unit of the times that the operating system tells, in milliseconds; the same on all Linux. */
  private static final long TICK_MS = 10;

  /** Fields of a thread's status after its name, which may contain blanks. */
  private static final int USER_TICKS = 11;

  private static final int SYSTEM_TICKS = 12;

  /** Numbers at the end of a thread's name. */
  private static final String NUMBER = "[-0-9#]+$";

  private static final int MAX_NAMES = 8;

  private final Path processes;
  private Map<String, Long> previousMs = Map.of();

  /** Processor time of one thread so far. */
  private record ThreadTime(String name, long ms) {}

  ThreadTimes() {
    this(PROCESSES);
  }

  /**
   * Creates a reader that has read nothing.
   *
   * @param processes where the operating system tells about processes
   */
  ThreadTimes(Path processes) {
    this.processes = processes;
  }

  /**
   * Returns the names with the most processor time since the last call, and that time in
   * milliseconds, such as {@code decisions=20 log=10}.
   */
  String sinceLastCall(List<Long> processIds) {
    Map<String, Long> nowMs = new HashMap<>();
    Map<String, Long> byName = new HashMap<>();
    for (long id : processIds) {
      threads(id)
          .forEach(
              (thread, time) -> {
                nowMs.put(thread, time.ms());
                long spentMs = time.ms() - previousMs.getOrDefault(thread, 0L);
                byName.merge(time.name(), spentMs, Long::sum);
              });
    }
    previousMs = nowMs;
    return byName.entrySet().stream()
        .sorted(
            Map.Entry.<String, Long>comparingByValue(Comparator.reverseOrder())
                .thenComparing(Map.Entry.comparingByKey()))
        .limit(MAX_NAMES)
        .map(entry -> entry.getKey() + "=" + entry.getValue())
        .collect(Collectors.joining(" "));
  }

  /** Returns the threads of a process; none if it has ended. */
  private Map<String, ThreadTime> threads(long processId) {
    Map<String, ThreadTime> threads = new HashMap<>();
    Path folder = processes.resolve(Long.toString(processId)).resolve("task");
    try (DirectoryStream<Path> tasks = Files.newDirectoryStream(folder)) {
      for (Path task : tasks) {
        read(task.resolve("stat"))
            .ifPresent(time -> threads.put(processId + "/" + task.getFileName(), time));
      }
    } catch (IOException | DirectoryIteratorException e) {
      // A process may end at any moment, and is told of in several ways then; what was read before
      // counts.
      return threads;
    }
    return threads;
  }

  /** Reads the status of a thread; empty if it has ended. */
  private static Optional<ThreadTime> read(Path status) {
    String text;
    try {
      text = Files.readString(status);
    } catch (IOException e) {
      // As for a process.
      return Optional.empty();
    }
    int nameEnd = text.lastIndexOf(')');
    String[] fields = text.substring(nameEnd + 2).split(" ");
    long ticks = Long.parseLong(fields[USER_TICKS]) + Long.parseLong(fields[SYSTEM_TICKS]);
    String name = text.substring(text.indexOf('(') + 1, nameEnd).replaceFirst(NUMBER, "");
    return Optional.of(new ThreadTime(name, ticks * TICK_MS));
  }
}
