// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.internal.log;

import org.jboss.logging.Logger;
import org.jboss.logging.MDC;

/**
 * Log of a process. Each line starts with the id of its message; a line about a request carries the
 * request id in the MDC. Safe for all threads.
 */
public final class HostLog {
  private static final String REQUEST = "request";

  private final Logger logger;

  /** Creates a log that writes to the logger of a category. */
  public HostLog(String category) {
    logger = Logger.getLogger(category);
  }

  /** Logs a message that is not about a single request. */
  public void event(LogEvent event, Object... arguments) {
    if (logger.isEnabled(event.level())) {
      logger.logv(event.level(), event.id() + ' ' + event.pattern(), arguments);
    }
  }

  /** Logs a message about a request, whose id is put into the MDC for this line. */
  public void request(String requestId, LogEvent event, Object... arguments) {
    if (logger.isEnabled(event.level())) {
      MDC.put(REQUEST, requestId);
      logger.logv(event.level(), event.id() + ' ' + event.pattern(), arguments);
      MDC.remove(REQUEST);
    }
  }

  /** Logs a message with named values, which the JSON formatter writes as an object. */
  public void details(LogEvent event, LogDetails details) {
    logger.logv(event.level(), event.id() + ' ' + event.pattern(), details);
  }

  /** Logs a message with the exception that caused it. */
  public void failure(LogEvent event, Throwable cause, Object... arguments) {
    logger.logv(event.level(), cause, event.id() + ' ' + event.pattern(), arguments);
  }
}
