// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.daemon;

import org.fawndrum.internal.log.LogDetails;
import org.fawndrum.protocol.Json;
import org.jboss.logmanager.ExtFormatter;
import org.jboss.logmanager.ExtLogRecord;

/** Formats each log record as one line of JSON. */
final class JsonLineFormatter extends ExtFormatter {
  private static final int ID_LENGTH = 8;

  /** The JSON members of a line. */
  private record Line(
      String at,
      String level,
      String id,
      String request,
      String message,
      LogDetails details,
      String failure) {}

  @Override
  public String format(ExtLogRecord record) {
    LogDetails details = details(record);
    // The message of named values is not formatted: it would repeat the details.
    String text = details == null ? formatMessage(record) : record.getMessage();
    boolean hasId = text.startsWith("FAWN") && text.length() > ID_LENGTH;
    Line line =
        new Line(
            record.getInstant().toString(),
            record.getLevel().getName(),
            hasId ? text.substring(0, ID_LENGTH) : null,
            details == null ? record.getMdc("request") : details.requestId(),
            details == null ? message(text, hasId) : null,
            details,
            record.getThrown() == null ? null : record.getThrown().toString());
    return Json.write(line) + "\n";
  }

  /** A line does not name the code that logs it, which each record would have to look up. */
  @Override
  public boolean isCallerCalculationRequired() {
    return false;
  }

  private static String message(String text, boolean hasId) {
    return hasId ? text.substring(ID_LENGTH + 1) : text;
  }

  private static LogDetails details(ExtLogRecord record) {
    Object[] parameters = record.getParameters();
    boolean hasParameters = parameters != null && parameters.length > 0;
    return hasParameters && parameters[0] instanceof LogDetails details ? details : null;
  }
}
