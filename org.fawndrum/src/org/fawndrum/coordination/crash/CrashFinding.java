// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.crash;

import java.util.List;
import java.util.stream.Collectors;
import org.fawndrum.state.HostIdentity;

/**
 * What the rules say of a request under which enough endpoints ended: whether it is turned away,
 * and if not, what stands against that.
 *
 * @param request which request
 * @param standing the rule that decided
 * @param against what the rule rests on: endpoints that ended without the request, or another
 *     request; empty for most rules
 * @param counted the endpoints whose ends count
 * @param discounted the endpoints whose ends do not, and why
 */
public record CrashFinding(
    RequestFingerprint request,
    Standing standing,
    List<String> against,
    List<HostIdentity> counted,
    List<Discounted> discounted) {
  /** Which rule decided. */
  public enum Standing {
    /** Nothing stands against it: the request is turned away. */
    CAUSE("it is the cause"),
    /** Fewer ends count than are always needed. */
    TOO_FEW("too few ends count"),
    /** Endpoints ended without the request lately, so that more ends are needed. */
    OTHERS_ENDED("more are needed, because endpoints ended without it"),
    /** This host does not hear all others, so that more ends are needed. */
    NOT_ALL_HEARD("more are needed, because not all hosts are heard"),
    /** All that count ended at one moment. */
    ONE_MOMENT("all ended at one moment"),
    /** Another request was on all endpoints that count. */
    ANOTHER_ON_ALL("another request was on all of them");

    private final String text;

    Standing(String text) {
      this.text = text;
    }
  }

  /** Why the end of an endpoint does not count. */
  public enum Discount {
    /** An endpoint gave the request's whole answer about then or later. */
    ANSWERED("answered since"),
    /** A request that is turned away was on the endpoint. */
    EXPLAINED("explained by one that is turned away"),
    /** A request with more ends was on the endpoint. */
    LIKELIER_CAUSE("another with more ends was on it"),
    /** Endpoints without the request ended at the same moment. */
    ONE_OF_SEVERAL("others ended with it");

    private final String text;

    Discount(String text) {
      this.text = text;
    }
  }

  /**
   * An end that does not count.
   *
   * @param endpoint the start that is over
   * @param why the reason
   */
  public record Discounted(HostIdentity endpoint, Discount why) {
    @Override
    public String toString() {
      return endpoint + " (" + why.text + ")";
    }
  }

  /** Copies the lists, so that the finding cannot change. */
  public CrashFinding {
    against = List.copyOf(against);
    counted = List.copyOf(counted);
    discounted = List.copyOf(discounted);
  }

  /** Tells whether the request is turned away. */
  boolean isCause() {
    return standing == Standing.CAUSE;
  }

  /** Returns the rule, what it rests on, and which ends count and which do not, for the log. */
  public String text() {
    return standing.text
        + names(against)
        + "; counted:"
        + names(counted)
        + "; not counted:"
        + names(discounted);
  }

  private static String names(List<?> some) {
    return some.stream().map(one -> " " + one).collect(Collectors.joining());
  }
}
