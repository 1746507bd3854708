// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.crash;

import java.util.ArrayList;
import java.util.List;

/** An engine and what it works on; each start is another one. */
final class CrashEngine {
  long start = 1;
  long bornMs;
  long harmedUntilMs;
  boolean up = true;
  final List<CrashRun> runs = new ArrayList<>();
}
