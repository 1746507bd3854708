// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.limit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;

/**
 * The permits that this host has for endpoints which accept a number of requests a second from all
 * hosts together. Such an endpoint gets a request only under a permit of the one host that issues
 * them. Permits are demanded for requests that wait, and for those that an endpoint without permit
 * would have served best. A permit expires soon, so that a host can't collect them.
 *
 * <p>Confined to one thread, except for the counts. Times are those of the host's clock, in
 * milliseconds.
 */
public final class EndpointPermits {
  /** The end of a permit of an attempt that needed none when it was placed. */
  public static final long NO_PERMIT = Long.MIN_VALUE;

  /** Before any time, in milliseconds; a time can be added to it or taken from it. */
  private static final long NEVER_MS = Long.MIN_VALUE / 4;

  /** The time of a demand that is not sent yet, in milliseconds: after any time. */
  private static final long NOT_SENT_MS = Long.MAX_VALUE / 4;

  /** How long a permit is valid, counted from its issue at the earliest, in milliseconds. */
  static final long VALID_MS = 500;

  /** Interval at which a demand that is not met is renewed, in milliseconds. */
  private static final long RENEW_MS = 1_000;

  /** Time after which the issuer counts as unreachable if it does not answer, in milliseconds. */
  private static final long ANSWER_TIMEOUT_MS = 500;

  /** Interval at which it is tried again whether somebody issues permits, in milliseconds. */
  private static final long UNREACHABLE_MS = 1_000;

  /** Age from which on the issuer's expectations are not used any more, in milliseconds. */
  private static final long MAX_EXPECTATION_AGE_MS = 3_000;

  /** Maximum number of permits in a demand: far more than are issued while one is valid. */
  private static final int MAX_DEMAND = 512;

  /** Number of endpoints from which on those without a limit are forgotten. */
  private static final int MAX_ACCOUNTS = 1_024;

  /** Number of demands for an endpoint whose grants are still accepted. */
  private static final int KEPT_DEMANDS = 4;

  private final EndpointRates rates;
  private final Map<String, Account> accounts = new HashMap<>();
  private final Map<String, PermitDemand> due = new LinkedHashMap<>();
  private long lastId;
  private volatile long usedCount;
  private volatile long expiredCount;

  /** The permits for one endpoint, and the demand for more. */
  private static final class Account {
    /** Ends of the permits, earliest first. */
    final Queue<Long> ends = new PriorityQueue<>();

    /** When the latest demands were made, by id. */
    final Map<Long, Long> demandedMs =
        new LinkedHashMap<>() {
          private static final long serialVersionUID = 1L;

          @Override
          protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
            return size() > KEPT_DEMANDS;
          }
        };

    /** When requests last took a permit, or would have taken one. */
    final Deque<Long> uses = new ArrayDeque<>();

    PermitDemand demand;
    int granted;
    long toldMs = NEVER_MS;
    long firstMs;
    long gapMs;
    boolean issued = true;

    long lastDemandMs() {
      return demand == null ? NEVER_MS : demandedMs.get(demand.id());
    }

    boolean isDemanded() {
      return demand != null && granted < demand.permits();
    }

    boolean isRequired() {
      return isDemanded() && demand.urgent();
    }

    boolean wasTold(long nowMs) {
      return issued && nowMs - toldMs <= MAX_EXPECTATION_AGE_MS;
    }

    /** Returns when this host last noticed that nobody issues permits. */
    long noIssuerMs(long nowMs) {
      long timeoutMs = lastDemandMs() + ANSWER_TIMEOUT_MS;
      boolean unanswered = isDemanded() && toldMs < lastDemandMs() && nowMs > timeoutMs;
      return unanswered ? timeoutMs : issued ? NEVER_MS : toldMs;
    }
  }

  /** Creates the permits of a host that has none. */
  public EndpointPermits(EndpointRates rates) {
    this.rates = rates;
  }

  /** Whether an endpoint may get no request now because this host has no permit for it. */
  public boolean isLacking(String endpoint, long nowMs) {
    return rates.isLimited(endpoint, nowMs) && valid(endpoint, nowMs) == 0;
  }

  private int valid(String endpoint, long nowMs) {
    Account account = accounts.get(endpoint);
    if (account == null) {
      return 0;
    }
    while (!account.ends.isEmpty() && account.ends.peek() < nowMs) {
      account.ends.remove();
      expiredCount = expiredCount + 1;
    }
    return account.ends.size();
  }

  /**
   * Uses a permit for one request.
   *
   * @return until when the request may be sent; {@link #NO_PERMIT} if the endpoint has no limit
   */
  public long take(String endpoint, long nowMs) {
    if (!rates.isLimited(endpoint, nowMs) || valid(endpoint, nowMs) == 0) {
      return NO_PERMIT;
    }
    Account account = accounts.get(endpoint);
    recordUse(account, nowMs);
    usedCount = usedCount + 1;
    return account.ends.remove();
  }

  private static void recordUse(Account account, long nowMs) {
    account.uses.addLast(nowMs);
    while (account.uses.peekFirst() < nowMs - VALID_MS) {
      account.uses.removeFirst();
    }
  }

  private Account accountOf(String endpoint, long nowMs) {
    if (accounts.size() >= MAX_ACCOUNTS) {
      accounts.keySet().removeIf(name -> !rates.isLimited(name, nowMs));
      due.keySet().retainAll(accounts.keySet());
    }
    return accounts.computeIfAbsent(endpoint, name -> new Account());
  }

  /** Whether a demand without urgency would be sent now. */
  public boolean mayPrefer(String endpoint, long nowMs) {
    Account account = accounts.get(endpoint);
    return account == null || isRenewable(account, nowMs);
  }

  /** Records that an endpoint would have served a request best, which went elsewhere. */
  public void prefer(String endpoint, long nowMs) {
    Account account = accountOf(endpoint, nowMs);
    recordUse(account, nowMs);
    if (isRenewable(account, nowMs)) {
      // Half of what recent requests would use: the others are served while it is on its way.
      int permits = Math.min(MAX_DEMAND, 1 + account.uses.size() / 2);
      demand(account, new PermitDemand(endpoint, ++lastId, permits, false, 0));
    }
  }

  /** Records that requests wait for an endpoint. */
  public void require(String endpoint, int requests, int urgency, long nowMs) {
    Account account = accountOf(endpoint, nowMs);
    int permits = Math.min(MAX_DEMAND, Math.max(1, requests));
    int missing = account.isRequired() ? account.demand.permits() - account.granted : 0;
    boolean different = permits > 2 * missing || missing > 2 * permits;
    if (different || isRenewable(account, nowMs)) {
      demand(account, new PermitDemand(endpoint, ++lastId, permits, true, urgency));
    }
  }

  /** Returns the endpoints for which permits are demanded that waiting requests need. */
  public List<String> required() {
    return accounts.entrySet().stream()
        .filter(entry -> entry.getValue().isRequired())
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Withdraws the demand for an endpoint, because no request waits for it any more. */
  public void withdraw(String endpoint) {
    Account account = accounts.get(endpoint);
    demand(account, new PermitDemand(endpoint, ++lastId, 0, false, 0));
  }

  private static boolean isRenewable(Account account, long nowMs) {
    return account.demand == null
        || account.granted >= account.demand.permits()
        || nowMs - account.lastDemandMs() >= RENEW_MS;
  }

  private void demand(Account account, PermitDemand demand) {
    account.demand = demand;
    account.granted = 0;
    // The time is set when it is taken; until then it is not renewed.
    account.demandedMs.put(demand.id(), NOT_SENT_MS);
    due.put(demand.endpoint(), demand);
  }

  /** Returns the demands to send now. */
  public List<PermitDemand> takeDemands(long nowMs) {
    if (due.isEmpty()) {
      return List.of();
    }
    List<PermitDemand> demands = new ArrayList<>(due.values());
    due.clear();
    for (PermitDemand demand : demands) {
      accounts.get(demand.endpoint()).demandedMs.put(demand.id(), nowMs);
    }
    return demands;
  }

  /** Applies the answer to a demand. Permits of a demand that is not known any more are lost. */
  public void granted(PermitGrant grant, long nowMs) {
    Account account = accounts.get(grant.endpoint());
    Long demandedMs = account == null ? null : account.demandedMs.get(grant.demandId());
    if (demandedMs == null) {
      return;
    }
    // Issued now at the latest, whatever the answer says.
    long endMs = Math.min(nowMs, demandedMs + grant.sinceDemandMs()) + VALID_MS;
    for (int i = 0; i < Math.min(MAX_DEMAND, grant.permits()); i++) {
      account.ends.add(endMs);
    }
    if (grant.demandId() == account.demand.id()) {
      account.granted += grant.permits();
      account.toldMs = nowMs;
      account.issued = grant.isIssued();
      account.firstMs = nowMs + grant.firstMs();
      account.gapMs = grant.gapMs();
    }
  }

  /**
   * Returns when a request may be sent to an endpoint, as far as is known; not after now if that is
   * possible at once or not known yet.
   *
   * @param before the number of requests that get permits for the endpoint first
   */
  public long expectedMs(String endpoint, int before, long nowMs) {
    return rates.isLimited(endpoint, nowMs)
        ? Math.min(expectedPermitMs(endpoint, before, nowMs), rates.endMs(endpoint, nowMs))
        : nowMs;
  }

  private long expectedPermitMs(String endpoint, int before, long nowMs) {
    int permits = valid(endpoint, nowMs);
    Account account = accounts.get(endpoint);
    if (account == null || permits > before) {
      return nowMs;
    }
    long retryMs = account.noIssuerMs(nowMs) + UNREACHABLE_MS;
    if (nowMs < retryMs) {
      return retryMs;
    }
    return account.wasTold(nowMs)
        ? Math.max(nowMs, account.firstMs) + (before - permits) * account.gapMs
        : nowMs;
  }

  /**
   * Returns the time between two permits for an endpoint that this host may expect, in
   * milliseconds; 0 if it is not known.
   */
  public long gapMs(String endpoint) {
    Account account = accounts.get(endpoint);
    return account == null ? 0 : account.gapMs;
  }

  /** Returns the number of permits under which requests were placed. */
  public long usedCount() {
    return usedCount;
  }

  /** Returns the number of permits that expired unused. */
  public long expiredCount() {
    return expiredCount;
  }
}
