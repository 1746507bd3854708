// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.errors;

import org.fawndrum.internal.text.MessageText;

/** A field of an endpoint's entry in the store is missing or malformed. */
public final class BadEntryException extends FawndrumException {
  private static final long serialVersionUID = 1L;

  /** Creates the exception for one field, by its name in the entry. */
  public BadEntryException(String field) {
    super(MessageText.BAD_ENTRY, field);
  }
}
