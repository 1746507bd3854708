// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.internal.log;

import org.jboss.logging.Logger;
import org.jboss.logging.MDC;

/** The log of a process. Each line has the id of its message and, where there is one, a request. */
public final class HostLog {
  private static final String REQUEST = "request";

  private final Logger logger;

  /** Makes a log of the given category. */
  public HostLog(String category) {
    logger = Logger.getLogger(category);
  }

  /** Writes a message that concerns no request. */
  public void event(LogEvent event, Object... arguments) {
    if (logger.isEnabled(event.level())) {
      logger.logv(event.level(), event.id() + ' ' + event.pattern(), arguments);
    }
  }

  /** Writes a message about a request. */
  public void request(String requestId, LogEvent event, Object... arguments) {
    if (logger.isEnabled(event.level())) {
      MDC.put(REQUEST, requestId);
      logger.logv(event.level(), event.id() + ' ' + event.pattern(), arguments);
      MDC.remove(REQUEST);
    }
  }

  /** Writes a message with named values. */
  public void details(LogEvent event, LogDetails details) {
    logger.logv(event.level(), event.id() + ' ' + event.pattern(), details);
  }

  /** Writes a message with the failure that led to it. */
  public void failure(LogEvent event, Throwable cause, Object... arguments) {
    logger.logv(event.level(), cause, event.id() + ' ' + event.pattern(), arguments);
  }
}
