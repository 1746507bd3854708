// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

/** Thrown when the soak itself cannot continue, independently of the daemons under test. */
final class SoakFailedException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  SoakFailedException(String what, Throwable cause) {
    super(what, cause);
  }
}
