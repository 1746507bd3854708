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
 * Finds who a key belongs to. Keys are kept as digests and compared in constant time against every
 * entry, so that the time of a look-up tells nothing about them. Immutable.
 *
 * @param <T> who keys belong to
 */
final class Keyring<T> {
  private static final String BEARER = "Bearer ";

  private final List<Entry<T>> entries;

  /** A key's digest and its owner. */
  private record Entry<T>(byte[] digest, T owner) {}

  /** Makes a ring from settings; {@code keyOf} reads an owner's key. */
  Keyring(List<T> owners, Function<T, String> keyOf) {
    List<Entry<T>> made = new ArrayList<>();
    owners.forEach(owner -> made.add(new Entry<>(digest(keyOf.apply(owner)), owner)));
    entries = List.copyOf(made);
  }

  /** Returns the owner of the key in an Authorization header, which may be null. */
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
