// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Puts the chunks of one request's answer in order. Only chunks of the current attempt count; a
 * late, crossed or repeated chunk is dropped, one that came too early is held, and the answer is
 * whole only when every position up to the announced count was handed on once. Confined to one
 * thread.
 */
public final class AnswerAssembler {
  /** How many chunks that came too early are held before the attempt counts as cut. */
  public static final int MOST_HELD = 64;

  private final TreeMap<Long, String> early = new TreeMap<>();
  private AttemptId current;
  private long position;
  private long announced = -1;

  /** What became of a chunk or an end mark. */
  public enum Result {
    /** Nothing new can be handed on, and nothing is wrong. */
    NOTHING,
    /** {@link AnswerAssembler#takeReady} has text to hand on. */
    READY,
    /** The whole answer was handed on, or is ready to be. */
    WHOLE,
    /** The attempt cannot make the answer whole; resume from {@link AnswerAssembler#position}. */
    CUT
  }

  private final List<String> ready = new ArrayList<>();

  /**
   * Begins an attempt, which must continue at {@link #position}. Earlier attempts count no more.
   */
  public void begin(AttemptId attempt) {
    current = attempt;
    announced = -1;
    early.clear();
  }

  /** Ends the current attempt: whatever still comes of it is dropped. */
  public void abandon() {
    current = null;
    announced = -1;
    early.clear();
  }

  /** Returns how many chunks are held or handed on without a gap: where to resume. */
  public long position() {
    return position;
  }

  /**
   * Takes a chunk.
   *
   * @param attempt the attempt that the chunk names
   * @param at its position in the answer, from 0
   * @param text its text
   */
  public Result chunk(AttemptId attempt, long at, String text) {
    if (!attempt.equals(current) || at < position) {
      return Result.NOTHING;
    }
    if (announced >= 0 && at >= announced) {
      return Result.CUT;
    }
    if (at > position) {
      early.putIfAbsent(at, text);
      return early.size() > MOST_HELD ? Result.CUT : Result.NOTHING;
    }
    handOn(text);
    while (!early.isEmpty() && early.firstKey() == position) {
      handOn(early.pollFirstEntry().getValue());
    }
    return position == announced ? Result.WHOLE : Result.READY;
  }

  private void handOn(String text) {
    ready.add(text);
    position++;
  }

  /**
   * Takes the end mark of an attempt.
   *
   * @param attempt the attempt that the mark names
   * @param count the number of chunks of the whole answer
   */
  public Result end(AttemptId attempt, long count) {
    if (!attempt.equals(current)) {
      return Result.NOTHING;
    }
    boolean tooShort = count < position;
    boolean beyond = !early.isEmpty() && early.lastKey() >= count;
    if (tooShort || beyond || announced >= 0 && announced != count) {
      return Result.CUT;
    }
    announced = count;
    return position == count ? Result.WHOLE : Result.NOTHING;
  }

  /** Returns the text that can be handed on now, in order, each piece once. */
  public List<String> takeReady() {
    List<String> taken = List.copyOf(ready);
    ready.clear();
    return taken;
  }
}
