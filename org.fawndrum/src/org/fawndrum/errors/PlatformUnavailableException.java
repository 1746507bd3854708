// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.errors;

import org.fawndrum.internal.text.MessageText;

/** The platform did not answer, or reported that it is unavailable. */
public final class PlatformUnavailableException extends FawndrumException {
  private static final long serialVersionUID = 1L;

  /** Creates the exception for one operation of the platform, such as {@code append}. */
  public PlatformUnavailableException(String operation, Throwable cause) {
    super(cause, MessageText.PLATFORM_UNAVAILABLE, operation);
  }
}
