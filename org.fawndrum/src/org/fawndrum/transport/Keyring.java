// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/**
 * Looks up the owner of an API key. Keys are stored as SHA-256 digests and compared in constant
 * time with every entry, so that the time of a lookup reveals nothing about them. Immutable.
 *
 * @param <T> the type of the owners
 */
final class Keyring<T> {
  private static final String BEARER = "Bearer ";

  private final List<Entry<T>> entries;

  /** The digest of a key and the owner of the key. */
  private record Entry<T>(byte[] digest, T owner) {}

  /** Creates a key ring; {@code keyOf} returns the key of an owner. */
  Keyring(List<T> owners, Function<T, String> keyOf) {
    List<Entry<T>> created = new ArrayList<>();
    owners.forEach(owner -> created.add(new Entry<>(digest(keyOf.apply(owner)), owner)));
    entries = List.copyOf(created);
  }

  /**
   * Returns the owner of the bearer key in an Authorization header.
   *
   * @param authorization the value of the header, or null when absent
   * @return the owner, or empty when the header is absent, has another scheme or an unknown key
   */
  Optional<T> owner(String authorization) {
    if (authorization == null || !authorization.startsWith(BEARER)) {
      return Optional.empty();
    }
    byte[] digest = digest(authorization.substring(BEARER.length()).strip());
    Optional<T> found = Optional.empty();
    for (Entry<T> entry : entries) {
      if (MessageDigest.isEqual(digest, entry.digest())) {
        found = Optional.of(entry.owner());
      }
    }
    return found;
  }

  private static byte[] digest(String key) {
    try {
      return MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
    } catch (NoSuchAlgorithmException e) {
      throw new AssertionError(e);
    }
  }
}
