// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.crash;

import java.util.Optional;

/** The content of a request, identified by a number. All contents have the same length. */
record TestContent(long number) implements RequestContent {
  private static final long BYTES = 100;

  RequestFingerprint knownFingerprint() {
    return new RequestFingerprint(BYTES, number, ~number);
  }

  @Override
  public long bytes() {
    return BYTES;
  }

  @Override
  public Optional<RequestFingerprint> fingerprint() {
    return Optional.of(knownFingerprint());
  }
}
