// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.errors;

import org.fawndrum.internal.text.MessageText;

/** A publication may or may not be in the log; reading the log determines the outcome. */
public final class PublicationOutcomeUnknownException extends FawndrumException {
  private static final long serialVersionUID = 1L;

  /** Creates the exception for one publication. */
  public PublicationOutcomeUnknownException(String publicationId, Throwable cause) {
    super(cause, MessageText.PUBLICATION_OUTCOME_UNKNOWN, publicationId);
  }
}
