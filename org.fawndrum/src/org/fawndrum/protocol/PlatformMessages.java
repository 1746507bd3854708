// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.protocol;

import java.util.List;

/** The JSON messages of the platform's log service and host list. */
public final class PlatformMessages {
  private PlatformMessages() {}

  /** A record to append; the content is Base64. */
  public record Append(String content) {}

  /** Offset of an appended record. */
  public record Appended(long offset) {}

  /** A record of the log; the content is Base64. */
  public record StoredRecord(long offset, String content) {}

  /**
   * A batch of log records.
   *
   * @param first the first offset that the log retains
   * @param next the offset of the next append
   * @param records the records from the requested offset on, in log order
   */
  public record Batch(long first, long next, List<StoredRecord> records) {}

  /**
   * A host on the platform's host list.
   *
   * @param name the host's name
   * @param incarnation rises with each start
   * @param zone its availability zone
   * @param role {@code entry}, {@code model} or {@code plain}
   * @param ip its IP address
   * @param port its port
   * @param serves names of the models or services that it serves
   * @param memoryTokens cache memory of a model engine, in tokens
   * @param leaving whether it is draining
   */
  public record ListedHost(
      String name,
      long incarnation,
      String zone,
      String role,
      String ip,
      int port,
      List<String> serves,
      long memoryTokens,
      boolean leaving) {}

  /**
   * The complete host list; its version rises with each change. The hosts are null if nothing
   * changed since the version in the request.
   */
  public record HostList(long version, List<ListedHost> hosts) {}

  /** Faults to inject into the stand-in; null leaves a fault unchanged. */
  public record Faults(
      Boolean down,
      Boolean loseConfirmations,
      Integer slowMs,
      Integer listLagMs,
      Long forgetBefore) {}
}
