// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.crash;

import java.util.ArrayList;
import java.util.List;

/** A simulated engine with its running requests; each restart is a new incarnation. */
final class CrashEngine {
  long incarnation = 1;
  long startedMs;
  long linkFaultUntilMs;
  boolean up = true;
  final List<CrashRun> runs = new ArrayList<>();
}
