// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.peer;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import org.fawndrum.protocol.wire.PeerMessage.BodyCase;

/**
 * Counts messages between daemons in one direction by their kind: what many hosts cost each other
 * shows in the number of messages first. Thread-safe.
 */
public final class MessageCounts {
  private final Map<BodyCase, LongAdder> messages = new EnumMap<>(BodyCase.class);
  private final LongAdder bytes = new LongAdder();

  /** Creates counts of zero. */
  MessageCounts() {
    for (BodyCase kind : BodyCase.values()) {
      messages.put(kind, new LongAdder());
    }
  }

  /**
   * Counts a message.
   *
   * @param size its encoded size, without its frame, in bytes
   */
  void add(BodyCase kind, int size) {
    messages.get(kind).increment();
    bytes.add(size);
  }

  /** Returns the number of messages of a kind. */
  public long of(BodyCase kind) {
    return messages.get(kind).sum();
  }

  /** Returns the total size of all messages, in bytes. */
  public long bytes() {
    return bytes.sum();
  }
}
