// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.internal.text;

import java.text.MessageFormat;
import java.util.Locale;
import java.util.ResourceBundle;

/**
 * Key of an exception message. The resource bundle has an entry under the name of each constant.
 */
public enum MessageText {
  ADDRESS_UNAVAILABLE,
  ANSWER_HEAD_DAMAGED,
  ANSWER_INCOMPLETE,
  ANSWER_JOINED,
  ANSWER_TOO_LARGE,
  BAD_CELLS,
  BAD_CSV,
  BAD_ENTRY,
  BAD_PEER_FRAME,
  BAD_SETTINGS,
  BAD_SNAPSHOT,
  ENDPOINT_ANSWERED_WRONG,
  ENDPOINT_MEMORY_SHORT,
  ENDPOINT_RESTARTED,
  MEMORY_UNUSED,
  ENDPOINT_UNREACHABLE,
  OPERATOR_CALL_FAILED,
  PEER_UNREACHABLE,
  PLATFORM_UNAVAILABLE,
  PROXY_FAILED,
  PUBLICATION_LOST,
  PUBLICATION_OUTCOME_UNKNOWN,
  RECORD_UNREADABLE,
  RECORDS_EXPIRED,
  REQUEST_CUT,
  REQUEST_REFUSED,
  RING_FULL,
  SECOND_ANSWER,
  TOO_MANY_INTERIM_ANSWERS;

  private static final ResourceBundle BUNDLE =
      ResourceBundle.getBundle("org.fawndrum.internal.text.messages", Locale.ROOT);

  /** Returns the text of the bundle with its placeholders replaced by {@code arguments}. */
  public String format(Object... arguments) {
    return new MessageFormat(BUNDLE.getString(name()), Locale.ROOT).format(arguments);
  }
}
