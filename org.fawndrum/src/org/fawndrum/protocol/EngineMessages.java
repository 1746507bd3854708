// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.protocol;

import java.util.List;
import org.fawndrum.coordination.LoadReport;

/** The JSON messages of the protocol of model engines. */
public final class EngineMessages {
  private EngineMessages() {}

  /**
   * Command to run a stream.
   *
   * @param attempt identifies owner, request and attempt; echoed in each event
   * @param request the request id
   * @param ownerHost the host that owns the stream's resources
   * @param ownerIncarnation the incarnation of that host
   * @param model the model's name
   * @param prompt the prompt text
   * @param promptTokens length of the prompt, in tokens
   * @param maxTokens maximum length of the answer, in tokens
   * @param priority 0 (lowest) to 9
   * @param from first token position to send; the caller already has the earlier ones
   * @param prefixes hashes of the prompt's leading blocks, shortest prefix first
   */
  public record StreamOrder(
      String attempt,
      String request,
      String ownerHost,
      long ownerIncarnation,
      String model,
      String prompt,
      long promptTokens,
      long maxTokens,
      int priority,
      long from,
      List<Long> prefixes) {}

  /**
   * An event of a stream.
   *
   * @param attempt the attempt it belongs to
   * @param at position of the token; null on completion or failure
   * @param text text of the token; null on completion or failure
   * @param count number of tokens of the whole answer; set on completion only
   * @param failed reason of the failure; set on failure only
   */
  public record StreamEvent(String attempt, Long at, String text, Long count, String failed) {}

  /** Command to cancel a stream and free its resources. */
  public record Cancel(String attempt) {}

  /** Refusal of a command; the request has not run and will not run. */
  public record NotRun(String ran, String reason, long retryAfterMs) {}

  /**
   * An engine's load.
   *
   * @param host the engine's name
   * @param incarnation the engine's incarnation
   * @param sequence rises with each report
   * @param backlogTokens prompt tokens not prefilled yet, by priority
   * @param freeTokens unused cache memory, in tokens
   * @param streams number of running and waiting streams
   * @param tokensPerSecond prefill throughput, in tokens per second
   * @param leaving whether the engine is draining
   * @param cacheEventsNext number of the next cache event
   */
  public record Load(
      String host,
      long incarnation,
      long sequence,
      long[] backlogTokens,
      long freeTokens,
      int streams,
      long tokensPerSecond,
      boolean leaving,
      long cacheEventsNext) {
    /** Returns the load in the form that placement uses. */
    public LoadReport report() {
      return new LoadReport(sequence, backlogTokens, freeTokens, streams, tokensPerSecond);
    }
  }

  /** A change of the prefix cache: block hashes that were stored and evicted. */
  public record CacheEvent(long number, List<Long> stored, List<Long> evicted) {}

  /** Consecutive changes of the prefix cache; they may arrive late and with gaps. */
  public record CacheEvents(List<CacheEvent> events) {}

  /** The resources that one owner holds on the engine. */
  public record Holding(String ownerHost, long ownerIncarnation, int streams, long tokens) {}

  /** The resources of all owners on the engine. */
  public record Holdings(List<Holding> holdings) {}

  /** Command to free the resources of an owner's incarnations up to the given one. */
  public record Sweep(String ownerHost, long upToIncarnation) {}

  /** The resources that a sweep freed. */
  public record Swept(int streams, long tokens) {}

  /** Faults to inject into the stand-in; null leaves a fault unchanged. */
  public record Faults(
      Boolean refuse,
      Boolean silent,
      Boolean leaving,
      Long cutAfterTokens,
      Boolean crossChunks,
      Boolean repeatChunks,
      Boolean dropChunk,
      Integer slowMs) {}
}
