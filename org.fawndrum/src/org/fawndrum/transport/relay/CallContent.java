// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import io.vertx.core.buffer.Buffer;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.List;
import java.util.Optional;
import org.fawndrum.coordination.crash.RequestContent;
import org.fawndrum.coordination.crash.RequestFingerprint;

/**
 * The content of a relayed request: method, path with query, workspace and body. Headers are not
 * included because a retried request may have different ones. Thread-safe.
 */
final class CallContent implements RequestContent {
  /** Collision-resistant, and its digest has the same length for bodies of any size. */
  private static final String HASH = "SHA-256";

  private final String method;
  private final String uri;
  private final String workspace;
  private final Buffer body;
  private final String service;
  private final List<Long> partIds;
  private RequestFingerprint fingerprint;

  /**
   * Creates the content of a request.
   *
   * @param service the service that it is for
   * @param partIds the ids of the parts of its prompt, in order; the last one is its own
   */
  CallContent(
      String method,
      String uri,
      String workspace,
      Buffer body,
      String service,
      List<Long> partIds) {
    this.method = method;
    this.uri = uri;
    this.workspace = workspace;
    this.body = body;
    this.service = service;
    this.partIds = partIds;
  }

  @Override
  public List<RequestFingerprint> parts() {
    return partIds.stream()
        .limit(Math.max(0, partIds.size() - 1))
        .distinct()
        .map(id -> RequestFingerprint.ofPart(service, id))
        .toList();
  }

  @Override
  public long bytes() {
    return body.length();
  }

  @Override
  public synchronized Optional<RequestFingerprint> fingerprint() {
    if (fingerprint == null) {
      fingerprint = compute();
    }
    return Optional.of(fingerprint);
  }

  private RequestFingerprint compute() {
    MessageDigest hash = hash();
    // Each text ends with a zero byte, which none of the texts contains, so that different texts
    // never concatenate to the same input.
    for (String text : new String[] {method, uri, workspace}) {
      hash.update(text.getBytes(StandardCharsets.UTF_8));
      hash.update((byte) 0);
    }
    hash.update(body.getBytes());
    ByteBuffer bytes = ByteBuffer.wrap(hash.digest());
    return new RequestFingerprint(body.length(), bytes.getLong(), bytes.getLong());
  }

  private static MessageDigest hash() {
    try {
      return MessageDigest.getInstance(HASH);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("not supported by this Java platform: " + HASH, e);
    }
  }
}
