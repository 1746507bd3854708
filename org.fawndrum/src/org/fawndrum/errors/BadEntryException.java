// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.errors;

import org.fawndrum.internal.text.MessageText;

/** What is said of an endpoint lacks a part, or has it in another form. */
public final class BadEntryException extends FawndrumException {
  private static final long serialVersionUID = 1L;

  /** Makes the failure of one part, named as its writer names it. */
  public BadEntryException(String part) {
    super(MessageText.BAD_ENTRY, part);
  }
}
