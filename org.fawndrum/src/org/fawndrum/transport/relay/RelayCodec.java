// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import io.vertx.core.MultiMap;
import java.util.List;
import java.util.Optional;
import org.fawndrum.coordination.Refusal;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.HostAddress;

/** Knows the names in the messages of callers and endpoints. Immutable, safe for all threads. */
public interface RelayCodec {
  /**
   * Reads the headers of a caller's request.
   *
   * @throws org.fawndrum.errors.RefusedException if they make no sense
   */
  RelayRequest read(MultiMap headers);

  /** Returns the headers that an endpoint gets instead of the caller's. */
  MultiMap forEndpoint(MultiMap fromCaller, Sending sending);

  /** Returns what the head of an endpoint's answer says. */
  Answer answer(int status, MultiMap headers, String requestId);

  /** Returns what an endpoint says about itself in the head of an answer that is its own. */
  EndpointNotice notice(int status, MultiMap headers);

  /** Returns what a refusal names as the endpoint at fault: an id or an address; or nothing. */
  Optional<String> endpointAtFault(MultiMap headers);

  /** Returns the headers that the caller gets. */
  MultiMap forCaller(MultiMap fromEndpoint);

  /** Returns the headers of an answer that no endpoint gave. */
  MultiMap ofRefusal(String requestId, Refusal refusal);

  /**
   * One sending of a request.
   *
   * @param endpoint where to
   * @param workspace who asks
   * @param leftMs how long the answer may take, in milliseconds
   * @param urgency from 0, the most urgent, to 9
   * @param lastEventId the last event that the caller has; 0 to begin
   * @param helpers the other engines that take part, none for most requests
   */
  record Sending(
      Endpoint endpoint,
      String workspace,
      long leftMs,
      int urgency,
      long lastEventId,
      List<Helper> helpers) {
    /** Copies the list, so that the sending cannot change. */
    public Sending {
      helpers = List.copyOf(helpers);
    }
  }

  /**
   * Another engine that takes part in reading a prompt.
   *
   * @param address where it listens
   * @param ticket names the memory that was set aside there; empty for none
   */
  record Helper(HostAddress address, String ticket) {}

  /** What the head of an answer says of the request. */
  enum Answer {
    /** It belongs to the request and comes from the endpoint. */
    OWN,
    /** The endpoint did not run the request and will not. */
    NOT_RUN,
    /** The endpoint at the address is another one; it did not run the request. */
    OTHER_ENDPOINT,
    /** It belongs to another request or is spoiled; nothing can be read from it. */
    FOREIGN
  }
}
