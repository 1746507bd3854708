// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.errors;

import org.fawndrum.internal.text.MessageText;

/** The platform did not answer, or answered that it is down. */
public final class PlatformUnavailableException extends FawndrumException {
  private static final long serialVersionUID = 1L;

  /** Makes the failure of one operation of the platform, such as {@code append}. */
  public PlatformUnavailableException(String operation, Throwable cause) {
    super(cause, MessageText.PLATFORM_UNAVAILABLE, operation);
  }
}
