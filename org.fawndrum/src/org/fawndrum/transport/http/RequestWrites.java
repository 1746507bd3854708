// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.http;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.nio.channels.ClosedChannelException;
import org.fawndrum.errors.RequestCutException;

/**
 * Fails the answer to a request that was not written whole, where the end of the connection would
 * be taken for the end of the answer. A reset is reported once by the operating system, to a read
 * or to a write; after one that a write has met, the connection ends like one that was closed in
 * order. Confined to the event loop of its connection, which carries one request at a time.
 */
final class RequestWrites extends ChannelDuplexHandler {
  private boolean requestWritten;
  private boolean endsWithConnection;

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    if (message instanceof HttpRequest) {
      requestWritten = false;
      endsWithConnection = false;
    }
    boolean last = message instanceof LastHttpContent;
    context
        .write(message, promise.unvoid())
        .addListener((ChannelFuture written) -> written(context, last, written));
  }

  private void written(ChannelHandlerContext context, boolean last, ChannelFuture written) {
    Throwable cause = written.cause();
    // What is left when the connection is closed, by whomever, fails as well, and tells nothing.
    if (cause instanceof IOException && !(cause instanceof ClosedChannelException)) {
      context.fireExceptionCaught(new RequestCutException(cause));
    } else if (cause == null && last) {
      requestWritten = true;
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof HttpResponse head) {
      endsWithConnection = isSuccess(head) && !isFramed(head);
    }
    if (message instanceof LastHttpContent && endsWithConnection && !requestWritten) {
      // Whoever closes a connection within a request may have meant to go on: bytes of the request
      // that arrive later turn the close into a reset, or have done so before it was read.
      context.fireExceptionCaught(new RequestCutException(null));
    }
    context.fireChannelRead(message);
  }

  private static boolean isSuccess(HttpResponse head) {
    return head.status().codeClass() == HttpStatusClass.SUCCESS;
  }

  private static boolean isFramed(HttpResponse head) {
    return head.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
        || head.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
  }
}
