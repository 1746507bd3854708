// SPDX-License-Identifier: Apache-2.0
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of one run: what was sent, answered and run, with times in ms since the start. */
final class RunRecord implements AutoCloseable {
  private final PrintWriter out;
  private final long startNanos = System.nanoTime();

  RunRecord(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  /** Returns the time since the start, in milliseconds, by the steady clock. */
  double nowMs() {
    return (System.nanoTime() - startNanos) / 1e6;
  }

  void line(String format, Object... arguments) {
    at(nowMs(), format, arguments);
  }

  synchronized void at(double ms, String format, Object... arguments) {
    out.printf(Locale.ROOT, "%10.1f %s%n", ms, String.format(Locale.ROOT, format, arguments));
  }

  /** Writes a line to the record and to standard output. */
  void say(String format, Object... arguments) {
    String text = String.format(Locale.ROOT, format, arguments);
    line("%s", text);
    System.out.printf(Locale.ROOT, "%10.1f %s%n", nowMs(), text);
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
