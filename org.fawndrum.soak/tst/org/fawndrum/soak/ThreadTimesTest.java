// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Processor time of all hosts by the names of their threads. */
class ThreadTimesTest {
  @TempDir private Path processes;

  private void write(long process, long thread, String name, long userTicks, long systemTicks)
      throws Exception {
    Path folder = processes.resolve(process + "/task/" + thread);
    Files.createDirectories(folder);
    String before = thread + " (" + name + ") S 1 2 3 4 5 6 7 8 9 10 ";
    Files.writeString(folder.resolve("stat"), before + userTicks + " " + systemTicks + " 0 0\n");
  }

  @Test
  void threadsOfOneNameAreAddedAndOnlyNewTimeCounts() throws Exception {
    ThreadTimes times = new ThreadTimes(processes);
    write(1, 10, "peers-2-1", 3, 1);
    write(2, 20, "peers-2-1", 5, 0);
    write(2, 21, "C1 (Compiler) 0", 4, 0);
    assertEquals("peers=90 C1 (Compiler) =40", times.sinceLastCall(List.of(1L, 2L, 3L)));
    write(2, 20, "peers-2-1", 6, 1);
    assertEquals("peers=20 C1 (Compiler) =0", times.sinceLastCall(List.of(1L, 2L)));
  }

  /** The other threads of its process were passed over, and counted again from the start later. */
  @Test
  void aThreadThatEndsMeanwhileLeavesOutNoOther() throws Exception {
    ThreadTimes times = new ThreadTimes(processes);
    for (int thread = 10; thread < 20; thread++) {
      write(1, thread, "peers-2-1", 1, 0);
    }
    Files.delete(processes.resolve("1/task/14/stat"));
    assertEquals("peers=90", times.sinceLastCall(List.of(1L)));
    Files.delete(processes.resolve("1/task/15/stat"));
    assertEquals("peers=0", times.sinceLastCall(List.of(1L)));
  }
}
