// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.errors;

import org.fawndrum.internal.text.MessageText;

/** An engine reports that no request uses the memory that is reserved on it. */
public final class MemoryUnusedException extends FawndrumException {
  private static final long serialVersionUID = 1L;

  /** Creates the exception for one engine. */
  public MemoryUnusedException(String endpoint) {
    super(MessageText.MEMORY_UNUSED, endpoint);
  }
}
