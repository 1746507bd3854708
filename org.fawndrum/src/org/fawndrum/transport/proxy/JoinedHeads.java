// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.proxy;

import io.vertx.core.MultiMap;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Recognizes heads that consist of two answers. Where an endpoint breaks off an answer within its
 * head and goes on with the next answer on the same connection, a parser takes both for one head:
 * the line that was begun ends with the status line of the next answer.
 */
final class JoinedHeads {
  /** Begins each status line; searched for first, because most values do not contain it. */
  private static final String VERSION = "HTTP/1.";

  /** A line that ends with a status line (RFC 9112, section 4). */
  private static final Pattern ENDS_WITH_STATUS_LINE =
      Pattern.compile("HTTP/1\\.[0-9] [0-9]{3}( [^\\r\\n]*)?$");

  private JoinedHeads() {}

  /**
   * Returns whether a head is joined of two. A field whose own value is a status line counts, too,
   * since nothing tells the two apart.
   *
   * @param reason the text after the status of the first line
   */
  static boolean isJoined(String reason, MultiMap headers) {
    if (endsWithStatusLine(reason)) {
      return true;
    }
    for (Map.Entry<String, String> header : headers) {
      if (endsWithStatusLine(header.getValue())) {
        return true;
      }
    }
    return false;
  }

  private static boolean endsWithStatusLine(String text) {
    return text.contains(VERSION) && ENDS_WITH_STATUS_LINE.matcher(text).find();
  }
}
