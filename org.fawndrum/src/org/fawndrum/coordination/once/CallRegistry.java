// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.once;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fawndrum.coordination.Ran;

/**
 * The requests that must not be repeated, as far as one host incarnation knows: those that it ran,
 * those that it claims, and those that it promised not to run. Entries are kept for {@link
 * #RETENTION_MS} after their last change; callers must not repeat a request later than that.
 * Confined to one thread.
 */
public final class CallRegistry {
  /** How long a key is kept, in milliseconds: a quarter of an hour. */
  public static final long RETENTION_MS = 900_000;

  private final Map<ClaimKey, Entry> entries = new HashMap<>();

  /** The state of a key on this host. */
  public enum State {
    /** This host is querying the others. */
    CLAIMING,
    /** This host may have sent the call to a service. */
    RUNNING,
    /** The call ran. */
    RAN,
    /** The call may have run. */
    UNKNOWN,
    /** This host had the call, and it certainly did not run. */
    NOT_RUN,
    /** This host will not run the call unless all other hosts permit it. */
    PROMISED
  }

  /**
   * The entry of one key.
   *
   * @param state the state of the key
   * @param changedMs when the state last changed
   */
  private record Entry(State state, long changedMs) {}

  /** Returns the state of a key; empty if nothing is known of it. */
  public Optional<State> state(ClaimKey key) {
    return Optional.ofNullable(entries.get(key)).map(Entry::state);
  }

  /** Returns the number of keys. */
  public int size() {
    return entries.size();
  }

  /** Sets the state of a key on this host. */
  void set(ClaimKey key, State state, long nowMs) {
    entries.put(key, new Entry(state, nowMs));
  }

  /** Records the outcome of a call. */
  void recordOutcome(ClaimKey key, Ran ran, long nowMs) {
    State state =
        switch (ran) {
          case NO -> State.NOT_RUN;
          case YES -> State.RAN;
          default -> State.UNKNOWN;
        };
    set(key, state, nowMs);
  }

  /**
   * Answers another host that asks whether it may run a call. {@code FREE} is a promise: from then
   * on this host will not run the call unless all others, including the other host, permit it.
   */
  ClaimAnswer answerClaim(ClaimKey key, long nowMs) {
    Entry entry = entries.get(key);
    boolean free =
        entry == null || entry.state() == State.NOT_RUN || entry.state() == State.PROMISED;
    if (free) {
      set(key, State.PROMISED, nowMs);
      return ClaimAnswer.FREE;
    }
    return entry.state() == State.RAN ? ClaimAnswer.RAN : ClaimAnswer.HELD;
  }

  /**
   * Removes entries whose last change is older than the retention time, except those of running
   * calls and current claims.
   */
  void removeExpired(long nowMs) {
    entries
        .values()
        .removeIf(
            entry ->
                nowMs - entry.changedMs() > RETENTION_MS
                    && entry.state() != State.RUNNING
                    && entry.state() != State.CLAIMING);
  }

  /** A key that a host hands over at its shutdown, and that other hosts must not run. */
  public record HandedOverKey(ClaimKey key, State state, long changedMs) {}

  /**
   * Returns the entries to hand over to other hosts at shutdown. Promises and keys that certainly
   * did not run are left out: this host will not run them any more.
   */
  public List<HandedOverKey> handover() {
    List<HandedOverKey> handed = new ArrayList<>();
    entries.forEach(
        (key, entry) -> {
          boolean dispensable = entry.state() == State.NOT_RUN || entry.state() == State.PROMISED;
          if (!dispensable) {
            State state = entry.state() == State.RAN ? State.RAN : State.UNKNOWN;
            handed.add(new HandedOverKey(key, state, entry.changedMs()));
          }
        });
    return handed;
  }

  /** Adds the entries that another host hands over. */
  void inherit(List<HandedOverKey> handed) {
    for (HandedOverKey entry : handed) {
      Entry existing = entries.get(entry.key());
      boolean runsOrRan =
          existing != null && (existing.state() == State.RUNNING || existing.state() == State.RAN);
      if (!runsOrRan) {
        entries.put(entry.key(), new Entry(entry.state(), entry.changedMs()));
      }
    }
  }
}
