// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.proxy;

import io.vertx.core.MultiMap;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Recognizes fields of a head that became a part of the field before them. A line that begins with
 * a blank continues the value of the line before it (RFC 9112, section 5.2); the HTTP client joins
 * both with a blank and does not tell.
 */
final class FoldedFields {
  /** A field that says where the body ends, within a value. */
  private static final Pattern FRAMING =
      Pattern.compile(
          "(?:^|[ \\t])(?:Content-Length|Transfer-Encoding)[ \\t]*:", Pattern.CASE_INSENSITIVE);

  private FoldedFields() {}

  /**
   * Returns whether a value contains a field that would say where the body ends. One whose own
   * value has such a text counts, too, since nothing tells the two apart.
   */
  static boolean hideFraming(MultiMap headers) {
    for (Map.Entry<String, String> header : headers) {
      if (header.getValue().indexOf(':') >= 0 && FRAMING.matcher(header.getValue()).find()) {
        return true;
      }
    }
    return false;
  }
}
