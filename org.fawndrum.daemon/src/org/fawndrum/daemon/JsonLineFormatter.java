// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.daemon;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import org.fawndrum.internal.log.LogDetails;
import org.fawndrum.protocol.Json;
import org.jboss.logmanager.ExtFormatter;
import org.jboss.logmanager.ExtLogRecord;

/**
 * Formats each log record as one line of JSON. Its members are written one by one: classes that
 * bind them are made by the JVM while a host starts.
 */
final class JsonLineFormatter extends ExtFormatter {
  private static final int ID_LENGTH = 8;
  private static final JsonFactory FACTORY = new JsonFactory();

  @Override
  public String format(ExtLogRecord record) {
    LogDetails details = details(record);
    // The message of named values is not formatted: it would repeat the details.
    String text = details == null ? formatMessage(record) : record.getMessage();
    boolean hasId = text.startsWith("FAWN") && text.length() > ID_LENGTH;
    StringWriter line = new StringWriter();
    try (JsonGenerator out = FACTORY.createGenerator(line)) {
      out.writeStartObject();
      write("at", record.getInstant().toString(), out);
      write("level", record.getLevel().getName(), out);
      write("id", hasId ? text.substring(0, ID_LENGTH) : null, out);
      write("request", details == null ? record.getMdc("request") : details.requestId(), out);
      write("message", details == null ? message(text, hasId) : null, out);
      if (details != null) {
        out.writeFieldName("details");
        out.writeRawValue(Json.write(details));
      }
      write("failure", record.getThrown() == null ? null : record.getThrown().toString(), out);
      out.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return line.append('\n').toString();
  }

  private static void write(String name, String value, JsonGenerator out) throws IOException {
    if (value != null) {
      out.writeStringField(name, value);
    }
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
