// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.standin;

/**
 * Generates the answers of the engine stand-in. The token at a position depends only on the prompt
 * and the position, so that all engines generate the same answer.
 */
public final class AnswerText {
  /** Number of different hash values in the tokens. */
  private static final int WORDS = 1_000;

  private AnswerText() {}

  /** Returns the token at a position of the answer to a prompt. */
  public static String tokenAt(String prompt, long position) {
    int hash = Math.floorMod(prompt.hashCode() * 31 + Long.hashCode(position) * 17, WORDS);
    return "w" + position + "." + hash + " ";
  }

  /** Returns the complete answer to a prompt, with the given number of tokens. */
  public static String fullText(String prompt, long tokens) {
    StringBuilder text = new StringBuilder();
    for (long position = 0; position < tokens; position++) {
      text.append(tokenAt(prompt, position));
    }
    return text.toString();
  }
}
