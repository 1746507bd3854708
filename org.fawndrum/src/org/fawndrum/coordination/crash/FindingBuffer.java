// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.crash;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Findings about requests with enough crashes that are not rejected, collected for the log without
 * repetitions. Confined to the registry's thread.
 */
final class FindingBuffer {
  /** Maximum number of requests whose last finding is kept. */
  private static final int MAX_REQUESTS = 256;

  private final Map<RequestFingerprint, CrashFinding> lastByRequest = new LinkedHashMap<>();
  private final List<CrashFinding> pending = new ArrayList<>();

  /** Adds a finding, unless it equals the last one of its request. */
  void add(CrashFinding finding) {
    boolean sufficient =
        finding.counted().size() + finding.discounted().size() >= CrashRules.MIN_CRASHES;
    if (!sufficient || finding.isCause() || finding.equals(lastByRequest.get(finding.request()))) {
      return;
    }
    BoundedMaps.putLast(lastByRequest, finding.request(), finding, MAX_REQUESTS);
    pending.add(finding);
  }

  /** Returns the findings since the last call and clears them. */
  List<CrashFinding> drain() {
    List<CrashFinding> drained = List.copyOf(pending);
    pending.clear();
    return drained;
  }
}
