// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.Optional;
import org.fawndrum.coordination.crash.RequestContent;
import org.fawndrum.coordination.crash.RequestFingerprint;

/** Request content that is identified by a number. */
record NumberedContent(long number) implements RequestContent {
  private static final long BYTES = 7;

  @Override
  public long bytes() {
    return BYTES;
  }

  @Override
  public Optional<RequestFingerprint> fingerprint() {
    return Optional.of(computeFingerprint());
  }

  RequestFingerprint computeFingerprint() {
    return new RequestFingerprint(BYTES, number, number);
  }
}
