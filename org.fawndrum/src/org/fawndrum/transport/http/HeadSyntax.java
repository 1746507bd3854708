// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.http;

/**
 * Checks the heads of the answers on one connection, byte by byte, for what the HTTP client's
 * parser corrects without telling: of a name with a blank it takes the first word, so that a length
 * may be lost, and it reads 0200 or +200 as 200 (RFC 9112, sections 4 and 5.1). Lines that continue
 * the field before them are left to the reader of the fields, and what is no HTTP/1 at all to the
 * parser, which refuses it. Not thread-safe.
 */
final class HeadSyntax {
  private static final String VERSION = "HTTP/1.";
  private static final int MINOR_VERSION = VERSION.length();
  private static final int BLANK = MINOR_VERSION + 1;
  private static final int STATUS_CLASS = BLANK + 1;
  private static final int AFTER_STATUS = STATUS_CLASS + 3;

  private static final int INTERIM_CLASS = '1';
  private static final int LAST_CLASS = '5';

  /** The interim status that is the last of its connection; what follows is no HTTP. */
  private static final int SWITCHING_PROTOCOLS = 101;

  private static final int HUNDRED = 100;
  private static final int TEN = 10;

  /** What may stand in a name beside letters and digits (RFC 9110, section 5.6.2). */
  private static final String NAME_SYMBOLS = "!#$%&'*+-.^_`|~";

  private static final int FIRST_VISIBLE = 0x20;
  private static final int DELETE = 0x7f;
  private static final int BYTE_MASK = 0xff;

  private Part part = Part.BEFORE;
  private boolean firstHead = true;
  private boolean firstField;
  private boolean afterCarriageReturn;
  private int position;
  private int status;

  /** Where the next byte stands. */
  private enum Part {
    BEFORE,
    STATUS_LINE,
    LINE_START,
    NAME,
    VALUE,
    /** Behind the head, or in bytes that are left to the parser. */
    UNCHECKED
  }

  /** Returns whether the next byte stands in a head, so that it is to be passed on to here. */
  boolean inHead() {
    return part != Part.UNCHECKED;
  }

  /**
   * Called when the answer whose head was checked last has ended: what comes next is another one.
   */
  void answerEnded() {
    if (part == Part.UNCHECKED) {
      part = Part.BEFORE;
      firstHead = false;
    }
  }

  /** Takes the next byte of a head; returns whether the head may be passed on with it. */
  boolean accepts(byte next) {
    int c = next & BYTE_MASK;
    boolean lineMustEnd = afterCarriageReturn;
    afterCarriageReturn = c == '\r';
    if (lineMustEnd && c != '\n') {
      return false;
    }
    return switch (part) {
      case BEFORE -> before(c);
      case STATUS_LINE -> statusLine(c);
      case LINE_START -> lineStart(c);
      case NAME -> name(c);
      case VALUE -> value(c);
      case UNCHECKED -> true;
    };
  }

  private static boolean isLineEnd(int c) {
    return c == '\r' || c == '\n';
  }

  /** The parser skips blanks and control bytes, and so takes a status line from behind them. */
  private boolean before(int c) {
    if (isLineEnd(c)) {
      return true;
    }
    boolean skipped = c <= FIRST_VISIBLE || c == DELETE;
    if (c == VERSION.charAt(0)) {
      part = Part.STATUS_LINE;
      position = 1;
      status = 0;
      return true;
    }
    // On a kept connection, the rest of an answer to an earlier request may come first.
    part = Part.UNCHECKED;
    return !(skipped && firstHead);
  }

  private boolean statusLine(int c) {
    int at = position;
    position++;
    if (at < MINOR_VERSION) {
      if (c != VERSION.charAt(at)) {
        part = Part.UNCHECKED;
      }
      return true;
    }
    if (at == MINOR_VERSION) {
      return isDigit(c);
    }
    if (at == BLANK) {
      return c == ' ';
    }
    if (at < AFTER_STATUS) {
      status = status * TEN + c - '0';
      return at == STATUS_CLASS ? c >= INTERIM_CLASS && c <= LAST_CLASS : isDigit(c);
    }
    if (c == '\n') {
      part = Part.LINE_START;
      firstField = true;
    }
    return at == AFTER_STATUS ? c == ' ' || isLineEnd(c) : isLineEnd(c) || isText(c);
  }

  private boolean lineStart(int c) {
    if (c == '\n') {
      headEnds();
      return true;
    }
    if (c == '\r') {
      return true;
    }
    if (c == ' ' || c == '\t') {
      part = Part.VALUE;
      return !firstField;
    }
    firstField = false;
    part = Part.NAME;
    return isNamePart(c);
  }

  private void headEnds() {
    boolean interim = status / HUNDRED == 1 && status != SWITCHING_PROTOCOLS;
    part = interim ? Part.BEFORE : Part.UNCHECKED;
  }

  private boolean name(int c) {
    if (c == ':') {
      part = Part.VALUE;
      return true;
    }
    return isNamePart(c);
  }

  private boolean value(int c) {
    if (c == '\n') {
      part = Part.LINE_START;
    }
    return isLineEnd(c) || isText(c);
  }

  private static boolean isDigit(int c) {
    return c >= '0' && c <= '9';
  }

  private static boolean isText(int c) {
    return c >= FIRST_VISIBLE && c != DELETE || c == '\t';
  }

  private static boolean isNamePart(int c) {
    boolean letter = c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z';
    return letter || isDigit(c) || NAME_SYMBOLS.indexOf(c) >= 0;
  }
}
