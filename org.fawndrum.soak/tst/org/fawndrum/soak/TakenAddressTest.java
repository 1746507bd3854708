// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import org.fawndrum.platform.standin.FixedPorts;
import org.fawndrum.state.HostAddress;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A daemon that cannot listen on a configured address logs the address and exits. */
class TakenAddressTest {
  private static final int FAILED = 1;

  @TempDir private Path folder;

  @Test
  void occupiedAddressIsLogged() throws Exception {
    try (FixedPorts ports = new FixedPorts();
        ServerSocket other = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      HostAddress taken = new HostAddress("127.0.0.1", other.getLocalPort());
      HostAddress platform = new HostAddress("127.0.0.1", ports.next());
      String text = new HostSettings(1, ports).text(0, taken, platform);
      HostProcess host = new HostProcess("host-0", folder, text);
      host.start();
      try {
        while (!host.exitedUnexpectedly()) {
          Thread.onSpinWait();
        }
        assertEquals(FAILED, host.exitCode());
        String log = Files.readString(folder.resolve("host-0.log"));
        assertTrue(log.contains("cannot listen for callers on " + taken + ": "), log);
      } finally {
        host.terminate();
      }
    }
  }
}
