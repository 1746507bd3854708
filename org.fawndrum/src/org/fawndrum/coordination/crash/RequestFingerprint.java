// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.crash;

/**
 * Identifies the content and the caller of a request, independent of its id, its connection and the
 * host that received it: repetitions of a request have the same fingerprint. Also identifies a part
 * that the prompts of different requests share.
 *
 * @param bytes the length of the body, in bytes; bodies of different lengths are told apart without
 *     a hash
 * @param high the first eight bytes of a hash over method, path, caller and body
 * @param low the next eight bytes
 */
public record RequestFingerprint(long bytes, long high, long low) {
  /** Length of a part of a prompt, whose tokens this host does not see; no body has it. */
  private static final long PART_BYTES = -1;

  /**
   * Returns the fingerprint of a part that prompts share.
   *
   * @param service the service that the prompts are for: the same part may crash the endpoints of
   *     one and not those of another
   * @param id the id of the part
   */
  public static RequestFingerprint ofPart(String service, long id) {
    return new RequestFingerprint(PART_BYTES, id, service.hashCode());
  }

  /** Returns whether it is that of a part of prompts rather than of a request. */
  public boolean isPart() {
    return bytes == PART_BYTES;
  }

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
