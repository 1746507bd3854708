// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.util.ReferenceCountUtil;
import org.fawndrum.errors.TooManyInterimAnswersException;

/**
 * Counts the answers that precede the final one of a request (status 1xx), and ends a connection
 * with too many of them: an endpoint may send them without end. Confined to the event loop of its
 * connection.
 */
final class InterimAnswers extends ChannelInboundHandlerAdapter {
  /** Far more than any endpoint has a reason to send before its answer. */
  private static final int MAX_ANSWERS = 16;

  private int count;

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof HttpResponse head) {
      boolean interim = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
      count = interim ? count + 1 : 0;
      if (count == MAX_ANSWERS + 1) {
        context.fireExceptionCaught(new TooManyInterimAnswersException(MAX_ANSWERS));
        context.close();
      }
    }
    if (count > MAX_ANSWERS) {
      ReferenceCountUtil.release(message);
    } else {
      context.fireChannelRead(message);
    }
  }
}
