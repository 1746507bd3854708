// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.once;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fawndrum.coordination.Ran;

/**
 * What one host incarnation knows of calls that may not be repeated: which it ran, which it claims,
 * which it promised to others. Entries are kept for {@link #KEPT_MS} after they last changed; a
 * caller that sends again later is out of contract. Confined to one thread.
 */
public final class OnceLedger {
  /** How long a key is remembered, in milliseconds: a quarter of an hour. */
  public static final long KEPT_MS = 900_000;

  private final Map<ClaimKey, Entry> entries = new HashMap<>();

  /** Where a key stands on this host. */
  public enum State {
    /** This host is asking the others. */
    CLAIMING,
    /** This host may have sent the call to a service. */
    RUNNING,
    /** The call ran. */
    RAN,
    /** The call may have run. */
    UNKNOWN,
    /** This host had the call and it surely did not run. */
    NOT_RUN,
    /** This host will not run the call unless everybody else lets it. */
    PROMISED
  }

  /**
   * One key's entry.
   *
   * @param state where it stands
   * @param changedMs when it last changed
   */
  private record Entry(State state, long changedMs) {}

  /** Returns where a key stands, empty when nothing is known of it. */
  public Optional<State> state(ClaimKey key) {
    return Optional.ofNullable(entries.get(key)).map(Entry::state);
  }

  /** Returns how many keys are remembered. */
  public int size() {
    return entries.size();
  }

  /** Sets where a key stands on this host. */
  void set(ClaimKey key, State state, long nowMs) {
    entries.put(key, new Entry(state, nowMs));
  }

  /** Takes note of how a call ended. */
  void settle(ClaimKey key, Ran ran, long nowMs) {
    State state =
        switch (ran) {
          case NO -> State.NOT_RUN;
          case YES -> State.RAN;
          default -> State.UNKNOWN;
        };
    set(key, state, nowMs);
  }

  /**
   * Answers another host that wants to run a call. Saying {@code FREE} is a promise: from then on
   * this host will not run the call unless everybody, the other host included, lets it.
   */
  ClaimAnswer asked(ClaimKey key, long nowMs) {
    Entry entry = entries.get(key);
    boolean free =
        entry == null || entry.state() == State.NOT_RUN || entry.state() == State.PROMISED;
    if (free) {
      set(key, State.PROMISED, nowMs);
      return ClaimAnswer.FREE;
    }
    return entry.state() == State.RAN ? ClaimAnswer.RAN : ClaimAnswer.HELD;
  }

  /** Forgets entries that last changed before the time that keys are remembered for. */
  void forgetOld(long nowMs) {
    entries
        .values()
        .removeIf(
            entry ->
                nowMs - entry.changedMs() > KEPT_MS
                    && entry.state() != State.RUNNING
                    && entry.state() != State.CLAIMING);
  }

  /** What a stopping host hands over: keys that another host must not run. */
  public record Inherited(ClaimKey key, State state, long changedMs) {}

  /**
   * Returns the entries that others must know of when this host stops for good. Promises and keys
   * that surely did not run need no successor: this host will not run them any more.
   */
  public List<Inherited> handover() {
    List<Inherited> handed = new ArrayList<>();
    entries.forEach(
        (key, entry) -> {
          boolean done = entry.state() == State.NOT_RUN || entry.state() == State.PROMISED;
          if (!done) {
            State state = entry.state() == State.RAN ? State.RAN : State.UNKNOWN;
            handed.add(new Inherited(key, state, entry.changedMs()));
          }
        });
    return handed;
  }

  /** Takes over what a stopping host handed over. */
  void inherit(List<Inherited> handed) {
    for (Inherited one : handed) {
      Entry own = entries.get(one.key());
      boolean mine = own != null && (own.state() == State.RUNNING || own.state() == State.RAN);
      if (!mine) {
        entries.put(one.key(), new Entry(one.state(), one.changedMs()));
      }
    }
  }
}
