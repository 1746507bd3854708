// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.errors;

import org.fawndrum.internal.text.MessageText;
import org.fawndrum.state.HostAddress;

/** A host cannot listen on an address of its settings: another socket has it, or it has no such. */
public final class AddressUnavailableException extends FawndrumException {
  private static final long serialVersionUID = 1L;

  /**
   * Makes the failure of one address.
   *
   * @param purpose who would come in there, by the name of the setting
   */
  public AddressUnavailableException(String purpose, HostAddress address, Throwable cause) {
    super(cause, MessageText.ADDRESS_UNAVAILABLE, purpose, address, cause.getMessage());
  }
}
