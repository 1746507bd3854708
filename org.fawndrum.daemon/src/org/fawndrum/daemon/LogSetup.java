// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.daemon;

import java.util.logging.Formatter;
import org.jboss.logmanager.ExtHandler;
import org.jboss.logmanager.Level;
import org.jboss.logmanager.LogContext;
import org.jboss.logmanager.Logger;
import org.jboss.logmanager.formatters.PatternFormatter;
import org.jboss.logmanager.handlers.AsyncHandler;
import org.jboss.logmanager.handlers.ConsoleHandler;

/** Sets up the log on standard error: one line a message, for people or as JSON. */
public final class LogSetup {
  /** Lines that wait for the writer at most. */
  private static final int QUEUE_LINES = 4_096;

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
    configure(new ConsoleHandler(ConsoleHandler.Target.SYSTEM_ERR, formatter), debug);
  }

  /**
   * Writes the log as lines of JSON to standard output, from a thread of its own with a bounded
   * queue: what finds no room there is dropped, so that nobody waits for a slow reader.
   *
   * @param debug whether each decision is logged in full
   */
  public static void configureOutput(boolean debug) {
    ConsoleHandler output =
        new ConsoleHandler(ConsoleHandler.Target.SYSTEM_OUT, new JsonLineFormatter());
    output.setLevel(Level.ALL);
    AsyncHandler queue = new AsyncHandler(QUEUE_LINES);
    queue.setOverflowAction(AsyncHandler.OverflowAction.DISCARD);
    queue.addHandler(output);
    configure(queue, debug);
  }

  private static void configure(ExtHandler handler, boolean debug) {
    handler.setLevel(Level.ALL);
    Logger root = LogContext.getLogContext().getLogger("");
    root.setHandlers(new java.util.logging.Handler[] {handler});
    root.setLevel(Level.INFO);
    LogContext.getLogContext().getLogger("org.fawndrum").setLevel(debug ? Level.DEBUG : Level.INFO);
  }
}
