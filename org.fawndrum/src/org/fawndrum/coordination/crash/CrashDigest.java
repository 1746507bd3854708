// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.crash;

import java.util.List;
import java.util.Set;

/** A hash of the evidence about crashes that is equal on two hosts that have the same. */
final class CrashDigest {
  private CrashDigest() {}

  /** Returns the hash of rejections and of the crashes that they do not explain; 0 for none. */
  static long of(Rejections rejections, List<EndpointCrash> unexplained) {
    long sum = hashOf(rejections.subjects());
    for (EndpointCrash crash : unexplained) {
      long endpointHash = crash.endpoint().host().hashCode() + crash.endpoint().incarnation();
      sum += (1 + endpointHash) * (1 + hashOf(crash.requests()) + hashOf(crash.parts()));
    }
    return sum;
  }

  private static long hashOf(Set<RequestFingerprint> subjects) {
    return subjects.stream().mapToLong(subject -> subject.high() ^ subject.low()).sum();
  }
}
