// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.Locale;

/**
 * Why a request got no whole answer, with the HTTP status and the error type of client libraries.
 */
public enum RefusalKind {
  /** The body is not JSON of the expected form. */
  INVALID_REQUEST(400, "invalid_request_error", "the body is not a valid request"),
  /** The prompt needs more memory than any endpoint of the target has. */
  PROMPT_TOO_LONG(400, "invalid_request_error", "the prompt is above the limit"),
  /** No key, or one that belongs to no caller group. */
  UNKNOWN_KEY(401, "authentication_error", "the key belongs to no caller group"),
  /** The caller group has no row in the table in force. */
  UNKNOWN_WORKSPACE(403, "permission_error", "the caller group has no row in the table"),
  /** The row does not allow the model. */
  MODEL_NOT_ALLOWED(403, "permission_error", "the caller group may not use this model"),
  /** The row routes the path to no service. */
  NO_ROUTE(404, "not_found_error", "no route of the caller group serves this path"),
  /** The request did not arrive in time. */
  REQUEST_INCOMPLETE(408, "invalid_request_error", "the request did not arrive in time"),
  /** The outcome of an earlier call with the same key is unknown. */
  OUTCOME_UNKNOWN(409, "conflict_error", "an earlier call with this key may have run"),
  /** An earlier call with the same key ran. */
  ALREADY_RAN(409, "conflict_error", "an earlier call with this key ran"),
  /** An earlier call with the same key is running. */
  ALREADY_RUNNING(409, "conflict_error", "an earlier call with this key is still running"),
  /** The body is larger than the limit. */
  BODY_TOO_LARGE(413, "invalid_request_error", "the body is above the limit"),
  /** The headers or the request line are larger than the limit. */
  HEADERS_TOO_LARGE(431, "invalid_request_error", "the headers are above the limit"),
  /** The row's limit of requests or tokens per second is exhausted. */
  RATE_LIMITED(429, "rate_limit_error", "the limit of requests or tokens a second is used up"),
  /** The row's limit of requests in flight is reached. */
  IN_FLIGHT_LIMIT(429, "rate_limit_error", "the limit of requests in flight is used up"),
  /** The row's queue is full. */
  QUEUE_FULL(429, "rate_limit_error", "the queue of the caller group is full"),
  /** The request could not finish before its deadline. */
  CANNOT_FINISH(503, "overloaded_error", "the request could not finish before its deadline"),
  /** The deadline passed while the request waited or ran. */
  DEADLINE_PASSED(504, "timeout_error", "the deadline passed"),
  /** No live endpoint serves the target. */
  NO_ENDPOINT(503, "overloaded_error", "no live endpoint serves the target"),
  /** This host has lost its links to the endpoints, and no other host could help. */
  NO_PATH(503, "overloaded_error", "this host reaches no endpoint that serves the target"),
  /** Every endpoint that serves the target asked this host to send nothing for a time. */
  ENDPOINTS_REST(503, "overloaded_error", "every endpoint that serves the target asked for rest"),
  /** Every endpoint that serves the target accepts no more requests a second than it gets. */
  ENDPOINTS_LIMITED(
      503, "overloaded_error", "the endpoints that serve the target accept no more requests now"),
  /** Every endpoint that serves the target is in a zone that operators have drained. */
  ZONES_DRAINED(503, "overloaded_error", "the zones of the endpoints for the target are drained"),
  /** The host is shutting down. */
  DRAINING(503, "overloaded_error", "this host is being stopped"),
  /** The event queue of a duty is full. */
  HOST_BUSY(503, "overloaded_error", "this host has no room for more events"),
  /** The host does its work so late that the request could not finish before its deadline. */
  HOST_LATE(503, "overloaded_error", "this host has no processor time for more requests"),
  /** The host holds all that it may for callers and endpoints. */
  HOST_MEMORY_FULL(503, "overloaded_error", "this host has no memory left for more requests"),
  /** The host has not received a table yet. */
  NO_TABLE(503, "overloaded_error", "this host has no table yet"),
  /** The host is not yet registered to run requests that must not be repeated. */
  NOT_REGISTERED(503, "overloaded_error", "this host may not run such calls yet"),
  /** The endpoint failed, and a retry is not allowed or did not help. */
  ENDPOINT_FAILED(502, "api_error", "the endpoint failed"),
  /** Endpoints crash while running the request, so that it is not run any more. */
  ENDS_ENDPOINTS(422, "invalid_request_error", "endpoints end when they run this request"),
  /**
   * Endpoints crashed while running the request, and the outcome of copies run since is unknown.
   */
  QUARANTINED(503, "overloaded_error", "the request is in quarantine and is not run now"),
  /** The caller closed its connection. */
  CALLER_GONE(499, "api_error", "the caller closed the connection"),
  /** The caller did not read its answer. */
  CALLER_TOO_SLOW(499, "api_error", "the caller left its answer unread for too long"),
  /** An internal error of the daemon. */
  INTERNAL(500, "api_error", "the daemon failed");

  private final int status;
  private final String clientType;
  private final String text;

  RefusalKind(int status, String clientType, String text) {
    this.status = status;
    this.clientType = clientType;
    this.text = text;
  }

  /** Returns the HTTP status. */
  public int status() {
    return status;
  }

  /** Returns the error type expected by client libraries. */
  public String clientType() {
    return clientType;
  }

  /** Returns the code of this kind, such as {@code queue_full}. */
  public String code() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Returns a message for humans. */
  public String text() {
    return text;
  }
}
