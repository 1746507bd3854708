// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import io.vertx.core.buffer.Buffer;
import java.util.function.BiPredicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Recognizes the head of another answer within a body: behind a body that ends with its connection,
 * or in the place of what an answer that broke off had left to send. Only its form gives it away: a
 * status line, behind which a field names the answer that the body belongs to. Looks at each byte
 * once, and holds one line of a head at most. Confined to one thread.
 */
final class BodyHeads {
  /** The longest field that is looked at, in bytes; the HTTP client takes no longer head. */
  private static final int MAX_FIELD_BYTES = 8 << 10;

  /** What a line that begins a head contains (RFC 9112, section 4). */
  private static final String STATUS = "HTTP/1.# ###";

  /** Stands for a digit in {@link #STATUS}. */
  private static final char DIGIT = '#';

  /**
   * A field with its name and value (RFC 9112, section 5). The value may have any byte, and is
   * trimmed apart: a pattern that does it takes the square of the number of blanks.
   */
  private static final Pattern FIELD =
      Pattern.compile("([!#$%&'*+.^_`|~0-9A-Za-z-]++):(.*+)", Pattern.DOTALL);

  private final boolean anyAtLineStart;
  private final BiPredicate<String, String> namesAnswer;
  private final StringBuilder field = new StringBuilder();
  private int matched;
  private boolean atLineStart = true;
  private boolean statusLine;
  private boolean inHead;
  private boolean found;

  /**
   * Creates a search.
   *
   * @param anyAtLineStart whether each line that begins as a status line does is one, as among
   *     events, which have no such field
   * @param namesAnswer tells from the name and value of a field whether it names the answer
   */
  BodyHeads(boolean anyAtLineStart, BiPredicate<String, String> namesAnswer) {
    this.anyAtLineStart = anyAtLineStart;
    this.namesAnswer = namesAnswer;
  }

  /** Searches the next bytes of the body; returns whether they, or earlier ones, have a head. */
  boolean append(Buffer bytes) {
    for (int i = 0; i < bytes.length() && !found; i++) {
      append((char) Byte.toUnsignedInt(bytes.getByte(i)));
    }
    return found;
  }

  /** Returns whether the body has a head, if it ends here; its last field may lack its end. */
  boolean foundAtEnd() {
    return found || inHead && field.length() > 0 && isOfAnswer();
  }

  private void append(char c) {
    if (c == '\n') {
      endLine();
      return;
    }
    if (!statusLine) {
      match(c);
    }
    if (inHead && field.length() <= MAX_FIELD_BYTES) {
      field.append(c);
    }
  }

  private void match(char c) {
    if (matched == STATUS.length()) {
      statusLine = c == ' ' || c == '\r';
      found |= statusLine && atLineStart && anyAtLineStart;
    } else if (isNext(c)) {
      matched++;
      return;
    }
    // Only the first character of a status line is none of its later ones.
    atLineStart = false;
    matched = c == STATUS.charAt(0) ? 1 : 0;
  }

  private boolean isNext(char c) {
    char expected = STATUS.charAt(matched);
    return expected == DIGIT ? c >= '0' && c <= '9' : c == expected;
  }

  private void endLine() {
    if (statusLine || matched == STATUS.length()) {
      inHead = true;
      found |= atLineStart && anyAtLineStart;
    } else if (inHead) {
      found |= isOfAnswer();
      inHead = FIELD.matcher(field).matches();
    }
    field.setLength(0);
    matched = 0;
    atLineStart = true;
    statusLine = false;
  }

  private boolean isOfAnswer() {
    Matcher line = FIELD.matcher(field);
    return field.length() <= MAX_FIELD_BYTES
        && line.matches()
        && namesAnswer.test(line.group(1), line.group(2).trim());
  }
}
