// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.protocol;

import java.util.List;
import org.fawndrum.coordination.LoadReport;

/** The JSON messages of a model engine. */
public final class EngineMessages {
  private EngineMessages() {}

  /**
   * An order to run a stream.
   *
   * @param attempt names owner, request and attempt; echoed on each chunk
   * @param request the request's id
   * @param ownerHost the host that owns what the stream holds
   * @param ownerIncarnation the incarnation of that host
   * @param model the model
   * @param prompt the prompt's text
   * @param promptTokens its length in tokens
   * @param maxTokens the longest answer, in tokens
   * @param priority 0 to 9
   * @param from the first position to answer; earlier ones are held by the caller
   * @param prefixes hashes of the prompt's leading blocks, shortest first
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
   * One event of a stream.
   *
   * @param attempt the attempt it belongs to
   * @param at the position of the token, null on an end or failure
   * @param text the token's text, null on an end or failure
   * @param count on an end: the number of tokens of the whole answer
   * @param failed on a failure: why
   */
  public record StreamEvent(String attempt, Long at, String text, Long count, String failed) {}

  /** An order to end a stream and free what it holds. */
  public record Cancel(String attempt) {}

  /** Why an order was not taken; the request did not and will not run. */
  public record NotRun(String ran, String reason, long retryAfterMs) {}

  /**
   * An engine's load.
   *
   * @param host its name
   * @param incarnation its incarnation
   * @param sequence grows with each report
   * @param backlogTokens prompt tokens not read yet, by priority
   * @param freeTokens cache memory that no stream holds
   * @param streams streams running or waiting
   * @param tokensPerSecond its reading speed
   * @param leaving whether it is about to leave
   * @param cacheEventsNext the number of the next cache event
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
    /** Returns the load in the form that decisions take. */
    public LoadReport report() {
      return new LoadReport(sequence, backlogTokens, freeTokens, streams, tokensPerSecond);
    }
  }

  /** One change of the prefix cache. */
  public record CacheEvent(long number, List<Long> stored, List<Long> evicted) {}

  /** Changes of the prefix cache from a number on, which may come late and with gaps. */
  public record CacheEvents(List<CacheEvent> events) {}

  /** What one owner holds on the engine. */
  public record Holding(String ownerHost, long ownerIncarnation, int streams, long tokens) {}

  /** Everything that owners hold on the engine. */
  public record Holdings(List<Holding> holdings) {}

  /** An order to free what an owner's incarnations up to one hold. */
  public record Sweep(String ownerHost, long upToIncarnation) {}

  /** How much was freed. */
  public record Swept(int streams, long tokens) {}

  /** Faults that the stand-in is told to have; null leaves one as it is. */
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
