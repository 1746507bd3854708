// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.proxy;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.fawndrum.protocol.wire.ProxyData;
import org.fawndrum.protocol.wire.ProxyHeader;
import org.fawndrum.protocol.wire.ProxyMessage;

/**
 * The messages on one connection, each preceded by its length in four bytes. Reads nothing while
 * paused, so that its peer has to stop sending. Confined to one event loop.
 */
final class ProxyFrames {
  private static final int LENGTH_BYTES = Integer.BYTES;

  /** Above the largest part of a body that is sent at once, with its headers. */
  private static final int MAX_MESSAGE_BYTES = 512 << 10;

  private final NetSocket socket;
  private final Consumer<ProxyMessage> receiver;
  private Buffer unread = Buffer.buffer();
  private boolean paused;

  /**
   * Starts to read a connection. One that sends anything but messages is closed.
   *
   * @param receiver receives each message
   */
  ProxyFrames(NetSocket socket, Consumer<ProxyMessage> receiver) {
    this.socket = socket;
    this.receiver = receiver;
    socket.handler(
        bytes -> {
          unread.appendBuffer(bytes);
          deliver();
        });
  }

  /** Sends a message. */
  void send(ProxyMessage.Builder message) {
    byte[] bytes = message.build().toByteArray();
    socket.write(
        Buffer.buffer(LENGTH_BYTES + bytes.length).appendInt(bytes.length).appendBytes(bytes));
  }

  /** Stops reading for a time. */
  void pause() {
    if (!paused) {
      paused = true;
      socket.pause();
    }
  }

  /** Reads on after a pause. */
  void resume() {
    if (paused) {
      paused = false;
      deliver();
      if (!paused) {
        socket.resume();
      }
    }
  }

  private void deliver() {
    while (!paused && unread.length() >= LENGTH_BYTES) {
      int length = unread.getInt(0);
      if (length < 0 || length > MAX_MESSAGE_BYTES) {
        socket.close();
        return;
      }
      int end = LENGTH_BYTES + length;
      if (unread.length() < end) {
        return;
      }
      byte[] message = unread.getBytes(LENGTH_BYTES, end);
      // Before the call, because the receiver may pause and resume.
      unread = unread.getBuffer(end, unread.length());
      receive(message);
    }
  }

  private void receive(byte[] message) {
    try {
      receiver.accept(ProxyMessage.parseFrom(message));
    } catch (InvalidProtocolBufferException e) {
      // The other side is no daemon, or a broken one; its requests fail as lost.
      socket.close();
    }
  }

  /** Encodes a part of a body. */
  static ProxyData.Builder data(Buffer part, boolean last) {
    return ProxyData.newBuilder().setBytes(ByteString.copyFrom(part.getBytes())).setLast(last);
  }

  /** Encodes headers. */
  static List<ProxyHeader> write(MultiMap headers) {
    List<ProxyHeader> written = new ArrayList<>(headers.size());
    for (Map.Entry<String, String> header : headers) {
      written.add(
          ProxyHeader.newBuilder().setName(header.getKey()).setValue(header.getValue()).build());
    }
    return written;
  }

  /** Decodes headers. */
  static MultiMap read(List<ProxyHeader> headers) {
    MultiMap read = MultiMap.caseInsensitiveMultiMap();
    headers.forEach(header -> read.add(header.getName(), header.getValue()));
    return read;
  }
}
