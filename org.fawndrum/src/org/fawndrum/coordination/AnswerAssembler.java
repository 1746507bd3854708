// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Reassembles the chunks of one request's answer in order. Accepts only chunks of the current
 * attempt; chunks of other attempts and repeated chunks are dropped, and chunks that arrive ahead
 * of a gap are buffered. The answer is complete only when every position up to the announced count
 * was delivered once. Confined to one thread.
 */
public final class AnswerAssembler {
  /**
   * Maximum number of chunks buffered ahead of a gap; beyond it the attempt counts as truncated.
   */
  public static final int MAX_BUFFERED = 64;

  private final TreeMap<Long, String> outOfOrder = new TreeMap<>();
  private AttemptId current;
  private long position;
  private long announcedCount = -1;

  /** Outcome of adding a chunk or an end mark. */
  public enum Result {
    /** No new text can be delivered, and no error was detected. */
    NOTHING,
    /** {@link AnswerAssembler#takeReady} has text to deliver. */
    READY,
    /** The whole answer was delivered or is ready to be. */
    COMPLETE,
    /** The attempt cannot complete the answer; resume from {@link AnswerAssembler#position}. */
    TRUNCATED
  }

  private final List<String> ready = new ArrayList<>();

  /**
   * Begins an attempt, which must continue at {@link #position}. Chunks of earlier attempts are
   * ignored from now on.
   */
  public void begin(AttemptId attempt) {
    current = attempt;
    announcedCount = -1;
    outOfOrder.clear();
  }

  /** Ends the current attempt. Its later chunks are dropped. */
  public void abandon() {
    current = null;
    announcedCount = -1;
    outOfOrder.clear();
  }

  /** Returns the number of chunks received without a gap, which is the position to resume at. */
  public long position() {
    return position;
  }

  /**
   * Adds a chunk.
   *
   * @param attempt the attempt named in the chunk
   * @param at the position in the answer, from 0
   * @param text the text
   */
  public Result chunk(AttemptId attempt, long at, String text) {
    if (!attempt.equals(current) || at < position) {
      return Result.NOTHING;
    }
    if (announcedCount >= 0 && at >= announcedCount) {
      return Result.TRUNCATED;
    }
    if (at > position) {
      outOfOrder.putIfAbsent(at, text);
      return outOfOrder.size() > MAX_BUFFERED ? Result.TRUNCATED : Result.NOTHING;
    }
    deliver(text);
    while (!outOfOrder.isEmpty() && outOfOrder.firstKey() == position) {
      deliver(outOfOrder.pollFirstEntry().getValue());
    }
    return position == announcedCount ? Result.COMPLETE : Result.READY;
  }

  private void deliver(String text) {
    ready.add(text);
    position++;
  }

  /**
   * Adds the end mark of an attempt.
   *
   * @param attempt the attempt named in the mark
   * @param count the number of chunks of the whole answer
   */
  public Result end(AttemptId attempt, long count) {
    if (!attempt.equals(current)) {
      return Result.NOTHING;
    }
    boolean tooShort = count < position;
    boolean beyond = !outOfOrder.isEmpty() && outOfOrder.lastKey() >= count;
    if (tooShort || beyond || announcedCount >= 0 && announcedCount != count) {
      return Result.TRUNCATED;
    }
    announcedCount = count;
    return position == count ? Result.COMPLETE : Result.NOTHING;
  }

  /** Returns the text that can be delivered now, in order, and removes it. */
  public List<String> takeReady() {
    List<String> taken = List.copyOf(ready);
    ready.clear();
    return taken;
  }
}
