// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.limit;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Tracks how many requests a second endpoints accept from all hosts together, as they state in
 * their answers. A rate is in force until a later answer states another one or none.
 *
 * <p>Answers overtake each other, and other hosts report theirs late. An answer was written between
 * the time at which its request was sent and the time at which it was received; of two answers for
 * which these periods overlap, the lower rate counts. A higher rate, or none, therefore only counts
 * if its request was sent after the statement in force was received.
 *
 * <p>An answer does not name the incarnation that sent it, so a rate also applies to incarnations
 * that are discovered later, until their first answer. Thread-safe. Times are those of the host's
 * clock, in milliseconds.
 */
public final class EndpointRateLimits implements EndpointRates {
  /**
   * Uncertainty of the times that another host reports, in milliseconds: its message was on its way
   * for an unknown time.
   */
  static final long REPORT_DELAY_MS = 500;

  /** How long a statement without confirmation is kept, in milliseconds; far above any incident. */
  static final long FORGET_MS = 600_000;

  private final Map<String, Statement> statements = new ConcurrentHashMap<>();

  /**
   * What an endpoint stated.
   *
   * @param endpoint its name
   * @param perSecond the rate that it accepts; {@link #UNLIMITED} if it named none
   * @param sentMs when the request was sent whose answer stated it
   * @param receivedMs when that answer was received
   */
  public record Statement(String endpoint, double perSecond, long sentMs, long receivedMs) {
    boolean isLimit() {
      return perSecond < UNLIMITED;
    }

    private Statement confirmedBy(Statement same) {
      return new Statement(
          endpoint,
          perSecond,
          Math.max(sentMs, same.sentMs),
          Math.max(receivedMs, same.receivedMs));
    }

    private boolean isReplacedBy(Statement other) {
      return other.perSecond < perSecond ? other.receivedMs > sentMs : other.sentMs >= receivedMs;
    }
  }

  /**
   * Applies an answer that this host received. An answer without a rate is only of interest for an
   * endpoint with one.
   *
   * @return whether the rate of the endpoint changed
   */
  public boolean answered(Statement statement) {
    return (statement.isLimit() || statements.containsKey(statement.endpoint()))
        && apply(statement, 0);
  }

  /**
   * Applies a statement that another host reported.
   *
   * @return whether the rate of the endpoint changed
   */
  public boolean reported(Statement statement) {
    Statement cautious =
        new Statement(
            statement.endpoint(),
            statement.perSecond(),
            statement.sentMs() - REPORT_DELAY_MS,
            statement.receivedMs());
    // Reports of the same statement return again and again, each time a little younger.
    return apply(cautious, REPORT_DELAY_MS);
  }

  private synchronized boolean apply(Statement statement, long minAdvanceMs) {
    Statement inForce = statements.get(statement.endpoint());
    if (inForce == null) {
      forgetBefore(statement.receivedMs() - FORGET_MS);
      statements.put(statement.endpoint(), statement);
      return statement.isLimit();
    }
    if (statement.perSecond() == inForce.perSecond()) {
      if (statement.receivedMs() > inForce.receivedMs() + minAdvanceMs) {
        statements.put(statement.endpoint(), inForce.confirmedBy(statement));
      }
      return false;
    }
    if (inForce.isReplacedBy(statement)) {
      statements.put(statement.endpoint(), statement);
      return true;
    }
    return false;
  }

  private void forgetBefore(long receivedMs) {
    statements.values().removeIf(statement -> statement.receivedMs() < receivedMs);
  }

  /** Whether an endpoint accepts only a number of requests a second from all hosts together. */
  public boolean isLimited(String endpoint) {
    // Usually there are none, and each request asks for many endpoints.
    Statement statement = statements.isEmpty() ? null : statements.get(endpoint);
    return statement != null && statement.isLimit();
  }

  /**
   * Returns the requests a second that an endpoint accepts; {@link #UNLIMITED} if it named none.
   */
  public double perSecond(String endpoint) {
    Statement statement = statements.get(endpoint);
    return statement == null ? UNLIMITED : statement.perSecond();
  }

  @Override
  public double perSecond(String endpoint, long nowMs) {
    return perSecond(endpoint);
  }

  @Override
  public boolean isLimited(String endpoint, long nowMs) {
    return isLimited(endpoint);
  }

  @Override
  public long endMs(String endpoint, long nowMs) {
    return UNKNOWN_END_MS;
  }

  @Override
  public List<String> limited(long nowMs) {
    return limited();
  }

  /** Returns the statements in force, for other hosts; also those that ended a limit. */
  public Collection<Statement> statements() {
    return List.copyOf(statements.values());
  }

  /** Returns the endpoints that are limited. */
  public List<String> limited() {
    return statements.values().stream()
        .filter(Statement::isLimit)
        .map(Statement::endpoint)
        .toList();
  }
}
