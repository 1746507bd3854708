// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.crash;

import java.util.List;
import java.util.Optional;

/**
 * The content of a request, identified by a number, and the parts of its prompt. All contents have
 * the same length.
 */
record TestContent(long number, List<RequestFingerprint> parts) implements RequestContent {
  private static final long BYTES = 100;

  TestContent(long number) {
    this(number, List.of());
  }

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
