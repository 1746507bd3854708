// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.daemon;

import org.fawndrum.protocol.Json;
import org.jboss.logmanager.ExtFormatter;
import org.jboss.logmanager.ExtLogRecord;

/** Formats each message as one line of JSON. */
final class JsonLineFormatter extends ExtFormatter {
  private static final int ID_LENGTH = 8;

  /** One line. */
  private record Line(
      String at, String level, String id, String request, String message, String failure) {}

  @Override
  public String format(ExtLogRecord record) {
    String text = formatMessage(record);
    boolean hasId = text.startsWith("FAWN") && text.length() > ID_LENGTH;
    Line line =
        new Line(
            record.getInstant().toString(),
            record.getLevel().getName(),
            hasId ? text.substring(0, ID_LENGTH) : null,
            record.getMdc("request"),
            hasId ? text.substring(ID_LENGTH + 1) : text,
            record.getThrown() == null ? null : record.getThrown().toString());
    return Json.write(line) + "\n";
  }
}
