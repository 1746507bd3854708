// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Checks that hosts hold no more than their limit for callers that read nothing. Confined to one
 * event loop.
 */
final class HeldBytesChecker {
  private static final Pattern BYTES_HELD = Pattern.compile("bytesHeld\\S* ([0-9.E]+)");

  private final long maxBytes;
  private final List<String> violations = new ArrayList<>();
  private int unread;
  private long mostBytes;

  /**
   * Creates a checker.
   *
   * @param maxBytes the most bytes that a host may hold
   */
  HeldBytesChecker(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Records a request whose caller reads nothing of its answer. */
  void recordUnread() {
    unread++;
  }

  /** Records and checks the metrics of a host. */
  void recordMetrics(String host, String metrics) {
    Matcher gauge = BYTES_HELD.matcher(metrics);
    if (!gauge.find()) {
      return;
    }
    long bytes = (long) Double.parseDouble(gauge.group(1));
    if (bytes > maxBytes && mostBytes <= maxBytes) {
      violations.add(host + " holds " + bytes + " bytes for its callers");
    }
    mostBytes = Math.max(mostBytes, bytes);
  }

  /** Returns the violations found up to now. */
  List<String> violations() {
    return violations;
  }

  /** Returns the number of requests that nobody read, and the most bytes that a host held. */
  String summary() {
    return unread + " requests unread, at most " + mostBytes + " bytes held";
  }
}
