// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.crash;

import java.util.List;
import java.util.Optional;

/**
 * The content of a request. Its fingerprint is computed on first use, which most requests never
 * have. Thread-safe.
 */
public interface RequestContent {
  /** The content of a request that is not compared with others. */
  RequestContent UNKNOWN =
      new RequestContent() {
        @Override
        public long bytes() {
          return 0;
        }

        @Override
        public Optional<RequestFingerprint> fingerprint() {
          return Optional.empty();
        }
      };

  /** Returns the length of the body, in bytes. */
  long bytes();

  /** Returns the fingerprint; empty if the content is not known. */
  Optional<RequestFingerprint> fingerprint();

  /**
   * Returns the fingerprints of the parts of its prompt that other requests may have, too, without
   * repetitions; empty if it has none.
   */
  default List<RequestFingerprint> parts() {
    return List.of();
  }
}
