// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.fawndrum.coordination.AnswerAssembler.Result;
import org.fawndrum.state.HostIdentity;
import org.junit.jupiter.api.Test;

/** An answer is delivered in order, once and completely, or is not reported as complete. */
class AnswerAssemblerTest {
  private static final HostIdentity OWNER = new HostIdentity("a", 1);

  private static AttemptId attempt(int number) {
    return new AttemptId(OWNER, "r", number);
  }

  private static String text(long at) {
    return "t" + at + " ";
  }

  private static String wholeAnswer(long count) {
    StringBuilder text = new StringBuilder();
    for (long at = 0; at < count; at++) {
      text.append(text(at));
    }
    return text.toString();
  }

  /** Simulates attempts whose chunks are late, mixed up, repeated, missing or out of order. */
  @Property(tries = 5_000, seed = "11")
  void neverReportsATruncatedOrMixedAnswerAsComplete(@ForAll long seed) {
    Random random = new Random(seed);
    long count = random.nextInt(30);
    AnswerAssembler assembler = new AnswerAssembler();
    StringBuilder delivered = new StringBuilder();
    Result last = Result.NOTHING;
    for (int number = 1; number <= 4 && last != Result.COMPLETE; number++) {
      last = runAttempt(random, assembler, number, count, delivered);
    }
    assertTrue(wholeAnswer(count).startsWith(delivered.toString()), delivered.toString());
    if (last == Result.COMPLETE) {
      assertEquals(wholeAnswer(count), delivered.toString());
    }
  }

  private static Result runAttempt(
      Random random, AnswerAssembler assembler, int number, long count, StringBuilder delivered) {
    AttemptId attempt = attempt(number);
    assembler.begin(attempt);
    Result result = Result.NOTHING;
    long next = assembler.position();
    for (int step = 0; step < 120; step++) {
      int roll = random.nextInt(100);
      if (roll < 60 && next < count) {
        result = assembler.chunk(attempt, next, text(next++));
      } else if (roll < 70) {
        result = assembler.chunk(attempt(number + 1), next, "crossed ");
      } else if (roll < 78) {
        result = assembler.chunk(attempt(Math.max(0, number - 1)), next, "late ");
      } else if (roll < 86 && next > 0) {
        // Chunks not delivered yet are repeated with the same text, others with a text that shows.
        long at = random.nextInt((int) next);
        String repeatedText = at < assembler.position() ? "repeated " : text(at);
        result = assembler.chunk(attempt, at, repeatedText);
      } else if (roll < 89 && next < count) {
        next++;
      } else if (roll < 92 && next + 1 < count) {
        result = assembler.chunk(attempt, next + 1, text(next + 1));
      } else if (next >= count) {
        result = assembler.end(attempt, count);
      }
      assembler.takeReady().forEach(delivered::append);
      if (result == Result.COMPLETE || result == Result.TRUNCATED) {
        return result;
      }
    }
    return Result.TRUNCATED;
  }

  @Test
  void repeatedChunkWithDifferentTextIsDropped() {
    AnswerAssembler assembler = new AnswerAssembler();
    assembler.begin(attempt(1));
    assembler.chunk(attempt(1), 0, "a");
    assertEquals(Result.NOTHING, assembler.chunk(attempt(1), 0, "b"));
    assertEquals(List.of("a"), assembler.takeReady());
  }

  @Test
  void endMarkBeforeLastChunkCompletesWhenItArrives() {
    AnswerAssembler assembler = new AnswerAssembler();
    assembler.begin(attempt(1));
    assertEquals(Result.NOTHING, assembler.end(attempt(1), 2));
    assembler.chunk(attempt(1), 0, "a");
    assertEquals(Result.COMPLETE, assembler.chunk(attempt(1), 1, "b"));
  }

  @Test
  void endMarkBelowDeliveredCountIsTruncated() {
    AnswerAssembler assembler = new AnswerAssembler();
    assembler.begin(attempt(1));
    assembler.chunk(attempt(1), 0, "a");
    assembler.chunk(attempt(1), 1, "b");
    assertEquals(Result.TRUNCATED, assembler.end(attempt(1), 1));
  }

  @Test
  void tooManyOutOfOrderChunksAreTruncated() {
    AnswerAssembler assembler = new AnswerAssembler();
    assembler.begin(attempt(1));
    Result result = Result.NOTHING;
    for (long at = 1; at <= AnswerAssembler.MAX_BUFFERED + 1; at++) {
      result = assembler.chunk(attempt(1), at, "x");
    }
    assertEquals(Result.TRUNCATED, result);
  }
}
