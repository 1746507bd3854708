// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.crash;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What was found of requests under which enough endpoints ended and that are not turned away, each
 * finding once. Confined to the ledger's thread.
 */
final class CrashFindings {
  /** The requests of which the last finding is kept at most. */
  private static final int MOST = 256;

  private final Map<RequestFingerprint, CrashFinding> last = new LinkedHashMap<>();
  private final List<CrashFinding> news = new ArrayList<>();

  /** Takes note of a finding; one that says the same as the last one of its request is no news. */
  void add(CrashFinding finding) {
    boolean enough = finding.counted().size() + finding.discounted().size() >= CrashRules.ENOUGH;
    if (!enough || finding.isCause() || finding.equals(last.get(finding.request()))) {
      return;
    }
    BoundedMaps.putLast(last, finding.request(), finding, MOST);
    news.add(finding);
  }

  /** Returns what is new since this was last asked. */
  List<CrashFinding> take() {
    List<CrashFinding> some = List.copyOf(news);
    news.clear();
    return some;
  }
}
