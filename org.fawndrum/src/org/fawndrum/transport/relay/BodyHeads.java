// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import io.vertx.core.buffer.Buffer;
import java.util.Set;
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

  /** The fields of events (HTML, section 9.2.6). */
  private static final Set<String> EVENT_FIELDS = Set.of("data", "event", "id", "retry");

  private final boolean amongEvents;
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
   * @param amongEvents whether the body consists of events: no line of theirs begins as a status
   *     line, and only their own fields follow a line that ends with one
   * @param namesAnswer tells from the name and value of a field whether it names the answer
   */
  BodyHeads(boolean amongEvents, BiPredicate<String, String> namesAnswer) {
    this.amongEvents = amongEvents;
    this.namesAnswer = namesAnswer;
  }

  /** Searches the next bytes of the body; returns whether they, or earlier ones, have a head. */
  boolean append(Buffer bytes) {
    byte[] all = bytes.getBytes();
    int next = 0;
    while (next < all.length && !found) {
      boolean nothingBegun = matched == 0 && !statusLine && !inHead;
      next = nothingBegun ? skip(all, next) : next;
      if (next < all.length) {
        append((char) Byte.toUnsignedInt(all[next]));
      }
      next++;
    }
    return found;
  }

  /**
   * Returns the index from which on a status line may begin; most bytes are only looked at here.
   */
  private int skip(byte[] all, int from) {
    int next = from;
    while (next < all.length && all[next] != STATUS.charAt(0)) {
      next++;
    }
    if (next > from) {
      atLineStart = all[next - 1] == '\n';
    }
    return next;
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
      found |= statusLine && atLineStart && amongEvents;
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
      found |= atLineStart && amongEvents;
    } else if (inHead) {
      found |= isOfAnswer();
      inHead = field(field).matches();
    }
    field.setLength(0);
    matched = 0;
    atLineStart = true;
    statusLine = false;
  }

  /** Returns a matcher of a field with its name and value; it looks at each character once. */
  static Matcher field(CharSequence line) {
    return FIELD.matcher(line);
  }

  private boolean isOfAnswer() {
    Matcher line = field(field);
    return field.length() <= MAX_FIELD_BYTES
        && line.matches()
        && (amongEvents && !EVENT_FIELDS.contains(line.group(1))
            || namesAnswer.test(line.group(1), line.group(2).trim()));
  }
}
