// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.protocol;

import java.util.List;

/** The JSON messages of the platform's log service and host list. */
public final class PlatformMessages {
  private PlatformMessages() {}

  /** A record to append; the content is base64. */
  public record Append(String content) {}

  /** Where a record was appended. */
  public record Appended(long offset) {}

  /** A record of the log; the content is base64. */
  public record StoredRecord(long offset, String content) {}

  /**
   * Records of the log.
   *
   * @param first the first offset that the log still holds
   * @param next the offset that the next append will get
   * @param records the records from the offset asked for, in order
   */
  public record Batch(long first, long next, List<StoredRecord> records) {}

  /**
   * One host on the platform's list.
   *
   * @param name its name
   * @param incarnation grows with each start
   * @param zone its availability zone
   * @param role {@code entry}, {@code model} or {@code plain}
   * @param ip its IP number
   * @param port its port
   * @param serves the models or services that it serves
   * @param memoryTokens cache memory of a model engine, in tokens
   * @param leaving whether it is about to leave
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
   * The whole list; its version grows with each change. Without hosts when nothing changed since
   * the version that the reader named.
   */
  public record HostList(long version, List<ListedHost> hosts) {}

  /** Faults that the stand-in is told to have; null leaves one as it is. */
  public record Faults(
      Boolean down,
      Boolean loseConfirmations,
      Integer slowMs,
      Integer listLagMs,
      Long forgetBefore) {}
}
