// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.streams.WriteStream;
import java.util.function.Consumer;

/**
 * Writes a body at the pace at which its receiver reads, so that a connection's queue holds only a
 * small part of it. Confined to one event loop.
 */
final class BodyWriter {
  /** Bodies up to this size are written at once; a connection's queue holds as much. */
  private static final int MAX_WHOLE_BYTES = 64 << 10;

  /** Size of the parts of a larger body, in bytes. */
  private static final int PART_BYTES = 16 << 10;

  private final WriteStream<Buffer> receiver;
  private final Buffer body;
  private final Consumer<Boolean> onBlocked;
  private int written;
  private boolean done;

  /**
   * Creates a writer.
   *
   * @param receiver gets the body
   * @param headers the headers sent before the body; the length of a large one is added
   * @param onBlocked told when the receiver stops reading, and when it reads again
   */
  BodyWriter(
      WriteStream<Buffer> receiver, MultiMap headers, Buffer body, Consumer<Boolean> onBlocked) {
    this.receiver = receiver;
    this.body = body;
    this.onBlocked = onBlocked;
    if (body.length() > MAX_WHOLE_BYTES) {
      headers.set(HttpHeaders.CONTENT_LENGTH, Integer.toString(body.length()));
    }
  }

  /** Writes as much as the receiver accepts, and the remainder when it has read that. */
  void write() {
    if (body.length() <= MAX_WHOLE_BYTES) {
      done = true;
      receiver.end(body);
    }
    while (!done && !receiver.writeQueueFull()) {
      int end = Math.min(body.length(), written + PART_BYTES);
      receiver.write(body.slice(written, end));
      written = end;
      if (written == body.length()) {
        done = true;
        receiver.end();
      }
    }
    if (!done) {
      onBlocked.accept(true);
      receiver.drainHandler(v -> resume());
    }
  }

  private void resume() {
    if (!done) {
      onBlocked.accept(false);
      write();
    }
  }

  /** Stops writing; returns whether the receiver has got only a part of the body. */
  boolean stop() {
    boolean incomplete = !done;
    done = true;
    return incomplete;
  }
}
