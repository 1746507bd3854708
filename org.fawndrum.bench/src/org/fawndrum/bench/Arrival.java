// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.bench;

import java.util.List;

/**
 * One request of a workload.
 *
 * @param atMs arrival time, in milliseconds of virtual time
 * @param host index of the entry host to which the load balancer sends it
 * @param workspace index of the workspace
 * @param promptTokens length of the prompt, in tokens
 * @param answerTokens length of the answer, in tokens
 * @param prefixes hashes of the prompt's leading blocks
 */
public record Arrival(
    long atMs, int host, int workspace, long promptTokens, long answerTokens, List<Long> prefixes) {
  /** Returns the tokens of prompt and answer. */
  public long work() {
    return promptTokens + answerTokens;
  }
}
