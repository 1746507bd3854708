// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.protocol;

import java.util.List;
import java.util.Map;

/** The JSON messages of the operator API. */
public final class OperatorMessages {
  private OperatorMessages() {}

  /**
   * Status of a daemon.
   *
   * @param host the host's name
   * @param incarnation the host's incarnation
   * @param zone its availability zone
   * @param version the program's version
   * @param state {@code starting}, {@code ready}, {@code draining} or {@code drained}
   * @param platformUp whether the platform answered the last call
   * @param tableRevision the current table revision
   * @param tablePosition the replayed log position
   * @param requestsOpen number of requests in progress
   * @param requestsWaiting number of requests that wait for an endpoint
   * @param claimsRegistered whether the daemon serves requests that must not be repeated
   * @param endpointsOpen endpoints that accept new work
   * @param endpointsLeaving draining endpoints
   * @param eventsRefused number of events that full ring buffers refused since the start
   * @param peers the status of the other daemons, as known here
   */
  public record Status(
      String host,
      long incarnation,
      String zone,
      String version,
      String state,
      boolean platformUp,
      long tableRevision,
      long tablePosition,
      int requestsOpen,
      int requestsWaiting,
      boolean claimsRegistered,
      List<String> endpointsOpen,
      List<String> endpointsLeaving,
      long eventsRefused,
      List<PeerStatus> peers) {}

  /** Status of another daemon; {@code heardMsAgo} is the age of its last heartbeat. */
  public record PeerStatus(
      String host,
      long incarnation,
      String zone,
      String state,
      long tableRevision,
      boolean draining,
      long heardMsAgo) {}

  /** A decision about a request; optional fields that do not apply to it are null. */
  public record DecisionView(
      String request,
      String workspace,
      String className,
      String target,
      long promptTokens,
      long atMs,
      long sinceArrivalMs,
      String decision,
      String reason,
      String endpoint,
      int attempt,
      String cell,
      String refusal,
      String ran,
      Long retryAfterMs,
      List<PassedOverView> passedOver,
      ReadingView reading) {}

  /** Prefill of a prompt; {@code tookMs} is null until the first token arrives. */
  public record ReadingView(List<String> engines, long expectedMs, Long tookMs) {}

  /** An endpoint that was considered but not selected. */
  public record PassedOverView(String endpoint, long expectedMs) {}

  /** All recorded decisions about one request. */
  public record Story(String request, List<DecisionView> decisions) {}

  /** A published cell. */
  public record CellView(String group, String column, String value, long offset, String operator) {}

  /** The current table. */
  public record TableView(long revision, long position, List<CellView> cells) {}

  /** A cell to change; a null value clears it. */
  public record ChangeView(String group, String column, String value) {}

  /** Request to publish changes based on the revision {@code editedFrom}. */
  public record Publish(String id, long editedFrom, List<ChangeView> changes) {}

  /**
   * Outcome of a publication.
   *
   * @param id the publication's id
   * @param outcome {@code accepted}, {@code lost}, {@code invalid} or {@code unknown}
   * @param offset its log offset, -1 if unknown
   * @param cells the cells because of which it was not accepted, with the operators who set them
   */
  public record Published(String id, String outcome, long offset, List<DeciderView> cells) {}

  /** A cell because of which a publication was not accepted. */
  public record DeciderView(
      String group, String column, String value, String operator, long offset, String allowed) {}

  /** The latest publications, oldest first. */
  public record History(List<Published> publications) {}

  /** Answer to a drain command. */
  public record Draining(int requestsOpen) {}

  /** An error of the operator API. */
  public record Failure(String error, String message) {}

  /** Values of all metrics, by name. */
  public record MetricsView(Map<String, Map<String, Number>> metrics) {}

  /**
   * A request that is rejected because endpoints crashed while running it.
   *
   * @param fingerprint identifies content and caller of the request, as in the log
   * @param sinceMs time since which it is rejected, in Unix milliseconds
   * @param endpoints the endpoint incarnations that crashed while running it
   */
  public record RefusedView(String fingerprint, long sinceMs, List<String> endpoints) {}

  /** All requests that a daemon rejects for this reason. */
  public record RefusedListView(List<RefusedView> refused) {}
}
