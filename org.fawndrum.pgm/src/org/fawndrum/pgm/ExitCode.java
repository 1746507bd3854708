// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.pgm;

/** The exit codes of the command line. */
public final class ExitCode {
  /** The command succeeded. */
  public static final int DONE = 0;

  /** The command was refused or failed; the message says why. */
  public static final int FAILED = 1;

  /** The command line, the settings or the input file are invalid; nothing was done. */
  public static final int USAGE = 2;

  /** The publication conflicts with an earlier one of another operator; nothing was changed. */
  public static final int LOST = 3;

  /** The outcome of the publication is not known yet; {@code table history} shows it later. */
  public static final int UNKNOWN = 4;

  /** The daemon is unreachable. */
  public static final int UNREACHABLE = 5;

  private ExitCode() {}
}
