// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.daemon;

import java.util.logging.Formatter;
import org.jboss.logmanager.ExtHandler;
import org.jboss.logmanager.Level;
import org.jboss.logmanager.LogContext;
import org.jboss.logmanager.Logger;
import org.jboss.logmanager.formatters.PatternFormatter;
import org.jboss.logmanager.handlers.ConsoleHandler;

/** Configures logging to standard error or standard output, one line per message. */
public final class LogSetup {
  /** Maximum number of lines queued for the writer thread. */
  private static final int MAX_QUEUED_LINES = 4_096;

  /**
   * How long the end of the process waits for its queued lines, in milliseconds. A full queue is
   * written in about a second by a process that has just started; only a reader that reads nothing
   * needs more, and must not keep the process.
   */
  private static final long MAX_END_WAIT_MS = 2_000;

  private static final String TEXT_PATTERN = "%d{yyyy-MM-dd HH:mm:ss.SSS} %-5p %X{request} %s%e%n";

  private LogSetup() {}

  /** Selects the log manager. Must be called before any logger is created. */
  public static void selectLogManager() {
    System.setProperty("java.util.logging.manager", "org.jboss.logmanager.LogManager");
    System.setProperty("org.jboss.logging.provider", "jboss");
    System.setProperty(
        "vertx.logger-delegate-factory-class-name", "io.vertx.core.logging.JULLogDelegateFactory");
  }

  /**
   * Configures logging to standard error.
   *
   * @param json whether each message is written as a line of JSON instead of text
   * @param debug whether each decision is logged
   */
  public static void configure(boolean json, boolean debug) {
    Formatter formatter = json ? new JsonLineFormatter() : new PatternFormatter(TEXT_PATTERN);
    configure(new ConsoleHandler(ConsoleHandler.Target.SYSTEM_ERR, formatter), debug);
  }

  /**
   * Configures logging as lines of JSON to standard output. A separate thread with a bounded queue
   * writes the lines; lines that exceed the queue are dropped, so that a slow reader blocks no
   * thread. The process writes the queued lines before it ends, unless it is halted.
   *
   * @param debug whether each decision is logged in full
   */
  public static void configureJsonOutput(boolean debug) {
    ConsoleHandler output =
        new ConsoleHandler(ConsoleHandler.Target.SYSTEM_OUT, new JsonLineFormatter());
    output.setLevel(Level.ALL);
    LogQueue queue = new LogQueue(output, MAX_QUEUED_LINES);
    configure(queue.handler(), debug);
    Runtime.getRuntime()
        .addShutdownHook(new Thread(() -> queue.awaitWritten(MAX_END_WAIT_MS), "log-end"));
  }

  private static void configure(ExtHandler handler, boolean debug) {
    handler.setLevel(Level.ALL);
    Logger root = LogContext.getLogContext().getLogger("");
    root.setHandlers(new java.util.logging.Handler[] {handler});
    root.setLevel(Level.INFO);
    LogContext.getLogContext().getLogger("org.fawndrum").setLevel(debug ? Level.DEBUG : Level.INFO);
  }
}
