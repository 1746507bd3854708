// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.crash;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * The requests and the parts of prompts that are rejected or were on endpoints that crashed. Made
 * for cheap tests of the many requests that are neither. Confined to one thread.
 */
final class Suspects {
  private Set<RequestFingerprint> requests = Set.of();
  private Set<Long> requestLengths = Set.of();
  private Set<RequestFingerprint> parts = Set.of();

  /** Replaces the suspects. */
  void refresh(CrashHistory history, Rejections rejections) {
    Set<RequestFingerprint> allRequests = history.requests();
    Set<RequestFingerprint> allParts = new HashSet<>(history.parts());
    for (RequestFingerprint rejected : rejections.subjects()) {
      (rejected.isPart() ? allParts : allRequests).add(rejected);
    }
    Set<Long> allLengths = new HashSet<>();
    allRequests.forEach(request -> allLengths.add(request.bytes()));
    requests = allRequests;
    requestLengths = allLengths;
    parts = allParts;
  }

  /** Returns the fingerprint of a suspect; computes it only if the length is that of a suspect. */
  Optional<RequestFingerprint> request(RequestContent content) {
    if (!requestLengths.contains(content.bytes())) {
      return Optional.empty();
    }
    return content.fingerprint().filter(requests::contains);
  }

  /** Returns the suspected parts of a request's prompt. */
  List<RequestFingerprint> partsOf(RequestContent content) {
    return parts.isEmpty() ? List.of() : content.parts().stream().filter(parts::contains).toList();
  }
}
