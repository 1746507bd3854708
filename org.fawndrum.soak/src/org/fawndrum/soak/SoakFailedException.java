// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

/** The soak itself could not go on; says nothing about the daemons. */
final class SoakFailedException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  SoakFailedException(String what, Throwable cause) {
    super(what, cause);
  }
}
