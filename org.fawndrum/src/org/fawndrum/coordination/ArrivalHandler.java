// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.Optional;
import org.fawndrum.state.Row;
import org.fawndrum.state.TableRevision;

/**
 * Decides on arriving requests by the table in force and the shutdown window of this host. Confined
 * to the coordinator's thread; times are those of the host's clock, in milliseconds.
 */
final class ArrivalHandler {
  private final GroupUsages usages;
  private final PromptLengthClassifier lengthClassifier;
  private final SuspectedRequests suspectedRequests;
  private final Admission admission;
  private TableRevision table = TableRevision.EMPTY;
  private ShutdownWindow shutdownWindow = ShutdownWindow.UNRESTRICTED;

  /** The decision: the admitted request, or the refusal and its reason. */
  record Verdict(Optional<OpenRequest> admitted, Refusal refusal, Reason reason) {
    private static Verdict admitted(OpenRequest request) {
      return new Verdict(Optional.of(request), null, Reason.WITHIN_LIMITS);
    }

    private static Verdict refused(Refusal refusal, Reason reason) {
      return new Verdict(Optional.empty(), refusal, reason);
    }
  }

  ArrivalHandler(
      GroupUsages usages,
      PromptLengthClassifier lengthClassifier,
      SuspectedRequests suspectedRequests,
      Admission admission) {
    this.usages = usages;
    this.lengthClassifier = lengthClassifier;
    this.suspectedRequests = suspectedRequests;
    this.admission = admission;
  }

  /** Replaces the table if the given one is newer. */
  void updateTable(TableRevision newer, long nowMs) {
    if (newer.position() > table.position()) {
      table = newer;
      usages.updateTable(newer, nowMs);
    }
  }

  /** Sets the window that limits which requests are admitted from now on. */
  void setShutdownWindow(ShutdownWindow window) {
    shutdownWindow = window;
  }

  /** Decides on a request that has just arrived. */
  Verdict decide(RequestFacts facts, long nowMs) {
    if (table.revision() < 0) {
      return Verdict.refused(RefusalRules.noTable(), Reason.LIMIT);
    }
    Optional<Row> row = table.row(facts.group());
    if (row.isEmpty()) {
      return Verdict.refused(Refusal.notRun(RefusalKind.UNKNOWN_WORKSPACE), Reason.LIMIT);
    }
    OpenRequest request = OpenRequest.of(facts, row.get());
    if (suspectedRequests.rejects(facts, nowMs)) {
      return Verdict.refused(RefusalRules.rejected(request), Reason.ENDS_ENDPOINTS);
    }
    if (!shutdownWindow.accepts(nowMs, request.deadlineMs)) {
      // The shutdown of this host would truncate the answer; another host can complete it.
      return Verdict.refused(RefusalRules.hostDraining(), Reason.DRAINING);
    }
    GroupUsage usage = usages.getOrCreate(facts.group(), row.get(), nowMs);
    lengthClassifier.addSample(facts.promptTokens());
    Refusal refusal = admission.check(request, usage, nowMs);
    if (refusal != null) {
      return Verdict.refused(refusal, RefusalRules.reasonFor(refusal.kind()));
    }
    usage.inFlight++;
    return Verdict.admitted(request);
  }
}
