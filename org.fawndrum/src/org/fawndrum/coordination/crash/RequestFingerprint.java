// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.crash;

/**
 * Identifies the content and the caller of a request, independent of its id, its connection and the
 * host that received it: repetitions of a request have the same fingerprint.
 *
 * @param bytes the length of the body, in bytes; bodies of different lengths are told apart without
 *     a hash
 * @param high the first eight bytes of a hash over method, path, caller and body
 * @param low the next eight bytes
 */
public record RequestFingerprint(long bytes, long high, long low) {
  /**
   * Returns the fingerprint as it appears in the log and in operator commands: 32 hexadecimal
   * digits.
   */
  // Explicit, because the generated ones build their code at run time, at each start of a daemon.
  @Override
  public boolean equals(Object object) {
    return object instanceof RequestFingerprint other
        && bytes == other.bytes
        && high == other.high
        && low == other.low;
  }

  @Override
  public int hashCode() {
    return 31 * (31 * Long.hashCode(bytes) + Long.hashCode(high)) + Long.hashCode(low);
  }

  @Override
  public String toString() {
    return String.format("%016x%016x", high, low);
  }
}
