// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.crash;

import java.util.List;
import java.util.stream.Collectors;
import org.fawndrum.state.HostIdentity;

/**
 * The result of {@link CrashRules} for a request with several crashes: whether it is rejected and,
 * if not, the evidence against that.
 *
 * @param request the request
 * @param conclusion the rule that decided
 * @param counterEvidence what the rule is based on: endpoints that crashed without the request, or
 *     other requests; empty for most rules
 * @param counted the endpoints whose crashes count
 * @param discounted the endpoints whose crashes do not count, with the reason
 */
public record CrashFinding(
    RequestFingerprint request,
    Conclusion conclusion,
    List<String> counterEvidence,
    List<HostIdentity> counted,
    List<DiscountedCrash> discounted) {
  /** The rule that decided. */
  public enum Conclusion {
    /** Nothing contradicts the evidence: the request is rejected. */
    CAUSE("the request is the cause"),
    /** Fewer crashes count than any rule requires. */
    TOO_FEW_CRASHES("too few crashes count"),
    /**
     * Endpoints crashed without the request within the last minute, which raises the required
     * number of crashes.
     */
    UNRELATED_CRASHES(
        "more crashes are required because these endpoints crashed without the request:"),
    /**
     * This host does not receive messages from all known hosts, which raises the required number of
     * crashes.
     */
    HOSTS_NOT_REPORTING("more crashes are required because not all hosts are reporting"),
    /** All crashes that count happened in one burst. */
    SINGLE_BURST("all counted crashes belong to one burst"),
    /** Another request was on all endpoints whose crashes count. */
    OTHER_REQUEST_ON_ALL("these requests were on every counted endpoint, too:");

    private final String text;

    Conclusion(String text) {
      this.text = text;
    }
  }

  /** Why a crash does not count. */
  public enum Discount {
    /** An endpoint completed an answer to the request at about that time or later. */
    ANSWERED_SINCE("an endpoint answered the request at about that time or later"),
    /** A rejected request was on the endpoint. */
    EXPLAINED_BY_REJECTED("a rejected request was on it"),
    /** A request with more crashes was on the endpoint. */
    MORE_LIKELY_CAUSE("a request with more crashes was on it"),
    /** Endpoints without the request crashed in the same burst. */
    PART_OF_BURST("others crashed in the same burst");

    private final String text;

    Discount(String text) {
      this.text = text;
    }
  }

  /**
   * A crash that does not count.
   *
   * @param endpoint the incarnation that crashed
   * @param reason why it does not count
   */
  public record DiscountedCrash(HostIdentity endpoint, Discount reason) {
    @Override
    public String toString() {
      return endpoint + " (" + reason.text + ")";
    }
  }

  /** Copies the lists to make the finding immutable. */
  public CrashFinding {
    counterEvidence = List.copyOf(counterEvidence);
    counted = List.copyOf(counted);
    discounted = List.copyOf(discounted);
  }

  /** Returns whether the request is rejected. */
  boolean isCause() {
    return conclusion == Conclusion.CAUSE;
  }

  /**
   * Returns the rule, its counter-evidence, and the crashes that count and do not count, as log
   * text.
   */
  public String text() {
    return conclusion.text
        + names(counterEvidence)
        + "; counted:"
        + names(counted)
        + "; not counted:"
        + names(discounted);
  }

  private static String names(List<?> items) {
    return items.stream().map(item -> " " + item).collect(Collectors.joining());
  }
}
