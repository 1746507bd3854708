// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpMethod;
import java.util.List;
import java.util.Optional;
import org.fawndrum.coordination.Refusal;
import org.fawndrum.state.Endpoint;

/** A codec that ignores the headers; all requests look alike. */
final class FixedCodec implements RelayCodec {
  @Override
  public RelayRequest readRequest(MultiMap headers) {
    return new RelayRequest("r-1", Optional.empty(), 0, 0, 0, List.of(), 0);
  }

  @Override
  public MultiMap endpointHeaders(MultiMap fromCaller, Sending sending) {
    throw new UnsupportedOperationException();
  }

  @Override
  public Answer classifyAnswer(int status, MultiMap headers, String requestId) {
    throw new UnsupportedOperationException();
  }

  @Override
  public boolean namesAnswer(MultiMap head, String name, String value) {
    return false;
  }

  @Override
  public boolean namesRequest(MultiMap headers) {
    throw new UnsupportedOperationException();
  }

  @Override
  public EndpointNotice readNotice(int status, MultiMap headers) {
    throw new UnsupportedOperationException();
  }

  @Override
  public LivenessRequest livenessRequest(Endpoint endpoint, String healthPath) {
    return new LivenessRequest(HttpMethod.GET, healthPath, MultiMap.caseInsensitiveMultiMap());
  }

  @Override
  public boolean isLivenessAnswer(Endpoint endpoint, int status, MultiMap headers) {
    throw new UnsupportedOperationException();
  }

  @Override
  public Optional<String> endpointAtFault(MultiMap headers) {
    throw new UnsupportedOperationException();
  }

  @Override
  public MultiMap callerHeaders(MultiMap fromEndpoint) {
    throw new UnsupportedOperationException();
  }

  @Override
  public MultiMap refusalHeaders(String requestId, Refusal refusal) {
    throw new UnsupportedOperationException();
  }
}
