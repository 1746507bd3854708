// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.daemon;

import java.util.logging.Formatter;
import org.jboss.logmanager.Level;
import org.jboss.logmanager.LogContext;
import org.jboss.logmanager.Logger;
import org.jboss.logmanager.formatters.PatternFormatter;
import org.jboss.logmanager.handlers.ConsoleHandler;

/** Sets up the log on standard error: one line a message, for people or as JSON. */
public final class LogSetup {
  private static final String TEXT = "%d{yyyy-MM-dd HH:mm:ss.SSS} %-5p %X{request} %s%e%n";

  private LogSetup() {}

  /** Must run before anything else touches the log. */
  public static void chooseBackEnd() {
    System.setProperty("java.util.logging.manager", "org.jboss.logmanager.LogManager");
    System.setProperty("org.jboss.logging.provider", "jboss");
    System.setProperty(
        "vertx.logger-delegate-factory-class-name", "io.vertx.core.logging.JULLogDelegateFactory");
  }

  /**
   * Chooses the form of the log.
   *
   * @param json whether each message is a line of JSON
   * @param debug whether each decision is logged
   */
  public static void configure(boolean json, boolean debug) {
    Formatter formatter = json ? new JsonLineFormatter() : new PatternFormatter(TEXT);
    ConsoleHandler handler = new ConsoleHandler(ConsoleHandler.Target.SYSTEM_ERR, formatter);
    handler.setLevel(Level.ALL);
    Logger root = LogContext.getLogContext().getLogger("");
    root.setHandlers(new java.util.logging.Handler[] {handler});
    root.setLevel(Level.INFO);
    LogContext.getLogContext().getLogger("org.fawndrum").setLevel(debug ? Level.DEBUG : Level.INFO);
  }
}
