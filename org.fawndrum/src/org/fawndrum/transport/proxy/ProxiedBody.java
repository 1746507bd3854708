// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.proxy;

import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.streams.ReadStream;

/** The body of an answer that arrives through another host. Confined to one event loop. */
final class ProxiedBody implements ReadStream<Buffer> {
  private final ProxyFrames frames;
  private Handler<Buffer> handler = part -> {};
  private Handler<Void> endHandler = v -> {};
  private Handler<Throwable> exceptionHandler = cause -> {};

  ProxiedBody(ProxyFrames frames) {
    this.frames = frames;
  }

  void data(Buffer part) {
    handler.handle(part);
  }

  void end() {
    endHandler.handle(null);
  }

  void fail(Throwable cause) {
    exceptionHandler.handle(cause);
  }

  @Override
  public ProxiedBody exceptionHandler(Handler<Throwable> newHandler) {
    exceptionHandler = newHandler;
    return this;
  }

  @Override
  public ProxiedBody handler(Handler<Buffer> newHandler) {
    handler = newHandler;
    return this;
  }

  @Override
  public ProxiedBody endHandler(Handler<Void> newHandler) {
    endHandler = newHandler;
    return this;
  }

  @Override
  public ProxiedBody pause() {
    frames.pause();
    return this;
  }

  @Override
  public ProxiedBody resume() {
    frames.resume();
    return this;
  }

  /** Reads on; the number of parts is not counted. */
  @Override
  public ProxiedBody fetch(long amount) {
    frames.resume();
    return this;
  }
}
