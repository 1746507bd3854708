// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.pgm;

/** The exit codes of the command line. */
public final class ExitCode {
  /** It was done. */
  public static final int DONE = 0;

  /** It was refused or failed; the message says why. */
  public static final int FAILED = 1;

  /** The command line, the settings or the input file are wrong; nothing was done. */
  public static final int USAGE = 2;

  /** A publication lost against another operator's; nothing was changed. */
  public static final int LOST = 3;

  /** The outcome is not known yet; look again with {@code table history}. */
  public static final int UNKNOWN = 4;

  /** The daemon cannot be reached. */
  public static final int UNREACHABLE = 5;

  private ExitCode() {}
}
