// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.Locale;

/** Why a request got no whole answer, with the status and error type that client libraries read. */
public enum RefusalKind {
  /** The body is not JSON of the expected form. */
  INVALID_REQUEST(400, "invalid_request_error", "the body is not a valid request"),
  /** The prompt is longer than any admitted one. */
  PROMPT_TOO_LONG(400, "invalid_request_error", "the prompt is above the limit"),
  /** No key, or one that belongs to no caller group. */
  UNKNOWN_KEY(401, "authentication_error", "the key belongs to no caller group"),
  /** The caller group has no row in the table in force. */
  UNKNOWN_WORKSPACE(403, "permission_error", "the caller group has no row in the table"),
  /** The row does not allow the model. */
  MODEL_NOT_ALLOWED(403, "permission_error", "the caller group may not use this model"),
  /** The row routes the path to no service. */
  NO_ROUTE(404, "not_found_error", "no route of the caller group serves this path"),
  /** The request was not complete in time. */
  REQUEST_INCOMPLETE(408, "invalid_request_error", "the request did not arrive in time"),
  /** The outcome of an earlier call with the same key is not known. */
  OUTCOME_UNKNOWN(409, "conflict_error", "an earlier call with this key may have run"),
  /** An earlier call with the same key ran. */
  ALREADY_RAN(409, "conflict_error", "an earlier call with this key ran"),
  /** An earlier call with the same key is running. */
  ALREADY_RUNNING(409, "conflict_error", "an earlier call with this key is still running"),
  /** The body is larger than the limit. */
  BODY_TOO_LARGE(413, "invalid_request_error", "the body is above the limit"),
  /** The headers or the request line are larger than the limit. */
  HEADERS_TOO_LARGE(431, "invalid_request_error", "the headers are above the limit"),
  /** The row's limit of requests or tokens a second is used up. */
  RATE_LIMITED(429, "rate_limit_error", "the limit of requests or tokens a second is used up"),
  /** The row's limit of requests in flight is used up. */
  IN_FLIGHT_LIMIT(429, "rate_limit_error", "the limit of requests in flight is used up"),
  /** The row's queue is full. */
  QUEUE_FULL(429, "rate_limit_error", "the queue of the caller group is full"),
  /** The request could not finish before its deadline. */
  CANNOT_FINISH(503, "overloaded_error", "the request could not finish before its deadline"),
  /** The deadline passed while the request waited or ran. */
  DEADLINE_PASSED(504, "timeout_error", "the deadline passed"),
  /** No live endpoint serves the target. */
  NO_ENDPOINT(503, "overloaded_error", "no live endpoint serves the target"),
  /** Every endpoint that serves the target wants nothing from this host for a while. */
  ENDPOINTS_REST(503, "overloaded_error", "every endpoint that serves the target asked for rest"),
  /** The host is being stopped. */
  DRAINING(503, "overloaded_error", "this host is being stopped"),
  /** A duty's ring is full. */
  HOST_BUSY(503, "overloaded_error", "this host has no room for more events"),
  /** No table is known yet. */
  NO_TABLE(503, "overloaded_error", "this host has no table yet"),
  /** The host may not run calls that may not be repeated yet. */
  NOT_REGISTERED(503, "overloaded_error", "this host may not run such calls yet"),
  /** The endpoint failed, and sending again is not allowed or did not help. */
  ENDPOINT_FAILED(502, "api_error", "the endpoint failed"),
  /** Endpoints end under the request, so that it is not run any more. */
  ENDS_ENDPOINTS(422, "invalid_request_error", "endpoints end when they run this request"),
  /** Endpoints ended under the request, and nothing became known of copies that ran since. */
  QUARANTINED(503, "overloaded_error", "the request is in quarantine and is not run now"),
  /** The caller went away. */
  CALLER_GONE(499, "api_error", "the caller closed the connection"),
  /** A fault of the daemon itself. */
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

  /** Returns the error type in the form that client libraries expect. */
  public String clientType() {
    return clientType;
  }

  /** Returns the code of this kind, such as {@code queue_full}. */
  public String code() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Returns a sentence for people. */
  public String text() {
    return text;
  }
}
