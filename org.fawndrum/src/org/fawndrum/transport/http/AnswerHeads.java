// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.fawndrum.errors.AnswerHeadDamagedException;

/**
 * Fails an answer whose head is damaged before it is parsed, since the parser corrects some of the
 * damage. Stands before the parser; {@link Ends} stands behind it. Confined to the event loop of
 * its connection.
 */
final class AnswerHeads extends ChannelInboundHandlerAdapter {
  private final HeadSyntax syntax = new HeadSyntax();
  private boolean damaged;

  /** Tells when the parser has found the end of an answer, which only it knows. */
  private final class Ends extends ChannelInboundHandlerAdapter {
    private boolean interim;

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      if (message instanceof HttpResponse head) {
        interim = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
      }
      if (message instanceof LastHttpContent && !interim) {
        syntax.answerEnded();
      }
      context.fireChannelRead(message);
    }
  }

  /** Returns the handler that stands behind the parser. */
  ChannelInboundHandlerAdapter ends() {
    return new Ends();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (!damaged && message instanceof ByteBuf bytes && syntax.inHead()) {
      damaged = hasDamagedHead(bytes);
      if (damaged) {
        context.fireExceptionCaught(new AnswerHeadDamagedException());
        context.close();
      }
    }
    if (damaged) {
      ReferenceCountUtil.release(message);
    } else {
      context.fireChannelRead(message);
    }
  }

  private boolean hasDamagedHead(ByteBuf bytes) {
    for (int at = bytes.readerIndex(); at < bytes.writerIndex() && syntax.inHead(); at++) {
      if (!syntax.accepts(bytes.getByte(at))) {
        return true;
      }
    }
    return false;
  }
}
