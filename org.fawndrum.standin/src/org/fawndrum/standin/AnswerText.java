// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.standin;

/** The text that the stand-in engine answers: the same for a request and a position, anywhere. */
public final class AnswerText {
  private static final int WORDS = 1_000;

  private AnswerText() {}

  /** Returns the token at a position of the answer to a prompt. */
  public static String at(String prompt, long position) {
    int hash = Math.floorMod(prompt.hashCode() * 31 + Long.hashCode(position) * 17, WORDS);
    return "w" + position + "." + hash + " ";
  }

  /** Returns the whole answer of a number of tokens. */
  public static String whole(String prompt, long tokens) {
    StringBuilder text = new StringBuilder();
    for (long position = 0; position < tokens; position++) {
      text.append(at(prompt, position));
    }
    return text.toString();
  }
}
