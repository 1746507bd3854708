// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.errors;

import org.fawndrum.internal.text.MessageText;
import org.fawndrum.state.HostAddress;

/** Listening on a configured address failed: it is in use, or not an address of this host. */
public final class AddressUnavailableException extends FawndrumException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception for one address.
   *
   * @param purpose name of the setting, such as {@code callers}
   */
  public AddressUnavailableException(String purpose, HostAddress address, Throwable cause) {
    super(cause, MessageText.ADDRESS_UNAVAILABLE, purpose, address, cause.getMessage());
  }
}
