// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.peer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.TooLongFrameException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import org.fawndrum.errors.BadPeerFrameException;
import org.fawndrum.errors.BadPeerFrameException.Fault;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.internal.log.LogEvent;
import org.fawndrum.protocol.PeerCodec;
import org.fawndrum.protocol.wire.PeerMessage;

/**
 * Installs the handlers of a connection between daemons. Each message is preceded by its length in
 * four bytes. A message that cannot be decoded is counted and dropped; an invalid length also
 * closes the connection, because the following messages can no longer be delimited.
 */
final class PeerPipeline {
  private static final int LENGTH_BYTES = 4;

  private final BiConsumer<ChannelHandlerContext, PeerMessage> received;
  private final MessageCounts counts;
  private final AtomicLong dropped;
  private final HostLog log;

  /**
   * Creates a pipeline for connections that are opened later.
   *
   * @param received handles a message
   * @param counts the messages received
   * @param dropped the number of messages that could not be decoded
   */
  PeerPipeline(
      BiConsumer<ChannelHandlerContext, PeerMessage> received,
      MessageCounts counts,
      AtomicLong dropped,
      HostLog log) {
    this.received = received;
    this.counts = counts;
    this.dropped = dropped;
    this.log = log;
  }

  void install(ChannelPipeline pipeline) {
    pipeline
        .addLast(
            new LengthFieldBasedFrameDecoder(
                PeerCodec.MAX_MESSAGE_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
        .addLast(new LengthFieldPrepender(LENGTH_BYTES))
        .addLast(new MessageHandler());
  }

  /** Decodes framed messages. */
  private final class MessageHandler extends SimpleChannelInboundHandler<ByteBuf> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
      try {
        byte[] bytes = ByteBufUtil.getBytes(frame);
        PeerMessage message = PeerCodec.read(bytes);
        counts.add(message.getBodyCase(), bytes.length);
        received.accept(context, message);
      } catch (BadPeerFrameException e) {
        drop(e);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      if (cause instanceof TooLongFrameException
          || cause instanceof io.netty.handler.codec.CorruptedFrameException) {
        drop(new BadPeerFrameException(Fault.LENGTH, cause));
      }
      context.close();
    }
  }

  private void drop(BadPeerFrameException failure) {
    dropped.incrementAndGet();
    log.event(LogEvent.PEER_MESSAGE_DROPPED, failure.fault());
  }
}
