// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpMethod;
import java.util.List;
import java.util.Optional;
import org.fawndrum.coordination.Refusal;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.HostAddress;

/**
 * Reads and writes the headers of callers' requests and endpoints' responses. Immutable and
 * thread-safe.
 */
public interface RelayCodec {
  /**
   * Reads the headers of a caller's request.
   *
   * @throws org.fawndrum.errors.RefusedException if they are invalid
   */
  RelayRequest readRequest(MultiMap headers);

  /** Returns the headers to send to an endpoint in place of the caller's. */
  MultiMap endpointHeaders(MultiMap fromCaller, Sending sending);

  /** Classifies an endpoint's response by its status and headers. */
  Answer classifyAnswer(int status, MultiMap headers, String requestId);

  /**
   * Returns whether a field names the same answer as a head does, so that it stands in another head
   * of that answer.
   */
  boolean namesAnswer(MultiMap head, String name, String value);

  /**
   * Returns whether an endpoint's response names the request that it answers. One that does not may
   * be a late answer to an earlier request on its connection.
   */
  boolean namesRequest(MultiMap headers);

  /**
   * Returns the notice in the headers of an endpoint's own response; {@link EndpointNotice#NONE} if
   * it contains none.
   */
  EndpointNotice readNotice(int status, MultiMap headers);

  /**
   * Returns a request that an endpoint answers without running anything for a caller.
   *
   * @param healthPath the path at which the endpoint tells its health; empty if not known
   */
  LivenessRequest livenessRequest(Endpoint endpoint, String healthPath);

  /**
   * Returns whether an answer is one to such a request and comes from the endpoint; if not, it
   * answers an earlier request, or a different endpoint uses the address now.
   */
  boolean isLivenessAnswer(Endpoint endpoint, int status, MultiMap headers);

  /**
   * Returns the id or address of the endpoint that a refusal names as the one at fault; empty if it
   * names none.
   */
  Optional<String> endpointAtFault(MultiMap headers);

  /** Returns the headers to send to the caller in place of the endpoint's. */
  MultiMap callerHeaders(MultiMap fromEndpoint);

  /** Returns the headers of a refusal by this host. */
  MultiMap refusalHeaders(String requestId, Refusal refusal);

  /**
   * The parameters of an attempt that its headers carry.
   *
   * @param endpoint the endpoint of the attempt
   * @param workspace the caller's workspace
   * @param remainingMs the time left until the deadline, in milliseconds
   * @param urgency from 0, the most urgent, to 9
   * @param lastEventId the last event that the caller has received; 0 to start from the beginning
   * @param helpers the helper engines; none for most requests
   */
  record Sending(
      Endpoint endpoint,
      String workspace,
      long remainingMs,
      int urgency,
      long lastEventId,
      List<Helper> helpers) {
    /** Copies the list, so that the record is immutable. */
    public Sending {
      helpers = List.copyOf(helpers);
    }
  }

  /** A request that shows whether an endpoint's process runs. */
  record LivenessRequest(HttpMethod method, String uri, MultiMap headers) {}

  /**
   * A helper engine that prefills a prompt segment.
   *
   * @param address its address
   * @param ticket identifies the memory reserved on it; empty if none is
   */
  record Helper(HostAddress address, String ticket) {}

  /** The kind of a response. */
  enum Answer {
    /** A response of the endpoint to this request. */
    VALID,
    /** The endpoint did not run the request and will not. */
    NOT_RUN,
    /** A different endpoint uses the address now; it did not run the request. */
    WRONG_ENDPOINT,
    /** A response to another request, or a corrupt one; none of its content is reliable. */
    MISMATCHED
  }
}
