// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.AttributeKey;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.EventExecutor;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import org.fawndrum.errors.PeerUnreachableException;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.protocol.wire.PeerMessage;
import org.fawndrum.settings.ListenSettings;
import org.fawndrum.state.HostAddress;

/**
 * Peer network over TCP with one event loop thread. A connection is opened when it is first used.
 * Safe for all threads.
 */
public final class NettyPeerNetwork implements PeerNetwork, AutoCloseable {
  private static final int CONNECT_TIMEOUT_MS = 1_000;
  private static final long REPLY_TIMEOUT_MS = 1_000;
  private static final int MIN_PORT = 0;

  /** The number of the last request to which a reply arrived on a connection. */
  private static final AttributeKey<Long> ANSWERED = AttributeKey.valueOf("answered");

  /** When the first request of a connection was made after which no reply has arrived. */
  private static final AttributeKey<Long> WAITING_SINCE_NANOS =
      AttributeKey.valueOf("waitingSince");

  /** The host to which a connection was opened; null for those that others opened. */
  private static final AttributeKey<HostAddress> OPENED_TO = AttributeKey.valueOf("openedTo");

  private final EventLoopGroup loop =
      new MultiThreadIoEventLoopGroup(
          1, new DefaultThreadFactory("peers", true), NioIoHandler.newFactory());
  private final ListenSettings listen;
  private final Receiver receiver;
  private final LongSupplier lateMs;
  private final PeerTls tls;
  private final HostLog log;
  private final Map<HostAddress, CompletableFuture<Channel>> channels = new ConcurrentHashMap<>();
  private final Map<Long, CompletableFuture<PeerMessage>> pendingReplies =
      new ConcurrentHashMap<>();
  private final ReplyTimeouts timeouts = new ReplyTimeouts(REPLY_TIMEOUT_MS);
  private final AtomicLong lastExchange = new AtomicLong();
  private final AtomicLong droppedMessages = new AtomicLong();
  private final MessageCounts sent = new MessageCounts();
  private final MessageCounts received = new MessageCounts();
  private Channel server;

  /** Creates a network; it accepts connections after {@link #listen}. */
  public NettyPeerNetwork(ListenSettings listen, Receiver receiver, HostLog log) {
    this(listen, receiver, () -> 0, log);
  }

  /**
   * Creates a network; it accepts connections after {@link #listen}.
   *
   * @param lateMs for how long a request waits for this host itself, in milliseconds; its reply is
   *     awaited for so much longer
   */
  public NettyPeerNetwork(
      ListenSettings listen, Receiver receiver, LongSupplier lateMs, HostLog log) {
    this.listen = listen;
    this.receiver = receiver;
    this.lateMs = lateMs;
    this.tls = PeerTls.of(listen.tls());
    this.log = log;
  }

  /** Starts to listen; the future fails when the address cannot be bound. */
  public CompletableFuture<Void> listen() {
    PeerPipeline pipeline = new PeerPipeline(this::received, received, droppedMessages, log);
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    tls.server()
                        .ifPresent(
                            ssl -> channel.pipeline().addLast(ssl.newHandler(channel.alloc())));
                    pipeline.install(channel.pipeline());
                  }
                });
    CompletableFuture<Void> listening = new CompletableFuture<>();
    bootstrap
        .bind(listen.address().ip(), Math.max(MIN_PORT, listen.address().port()))
        .addListener(
            (ChannelFuture bound) -> {
              if (bound.isSuccess()) {
                server = bound.channel();
                listening.complete(null);
              } else {
                listening.completeExceptionally(bound.cause());
              }
            });
    return listening;
  }

  /** Returns the event loop of all connections. */
  public EventExecutor eventLoop() {
    return loop.next();
  }

  /** Returns the bound port. */
  public int port() {
    return ((InetSocketAddress) server.localAddress()).getPort();
  }

  /** Returns the number of received messages that were dropped because they were malformed. */
  public long droppedMessages() {
    return droppedMessages.get();
  }

  /** Returns the counts of the messages sent. */
  public MessageCounts sent() {
    return sent;
  }

  /** Returns the counts of the messages received. */
  public MessageCounts received() {
    return received;
  }

  private void received(ChannelHandlerContext context, PeerMessage message) {
    boolean isReply =
        switch (message.getBodyCase()) {
          case CATCH_UP_REPLY, CLAIM_REPLY, ACKNOWLEDGEMENT, KNOWLEDGE_REPLY -> true;
          default -> false;
        };
    if (isReply) {
      replied(context.channel(), message.getExchange());
      CompletableFuture<PeerMessage> pending = pendingReplies.remove(message.getExchange());
      if (pending != null) {
        pending.complete(message);
      }
      return;
    }
    receiver.received(
        message,
        reply -> write(context.channel(), reply.setExchange(message.getExchange()).build()));
  }

  private void replied(Channel channel, long exchange) {
    channel.attr(ANSWERED).set(exchange);
    channel.attr(WAITING_SINCE_NANOS).set(null);
    HostAddress peer = channel.attr(OPENED_TO).get();
    if (peer != null) {
      timeouts.replied(peer);
    }
  }

  @Override
  public void send(HostAddress to, PeerMessage message) {
    send(List.of(to), message);
  }

  @Override
  public void send(Collection<HostAddress> to, PeerMessage message) {
    // Encoded once: a zone leader sends each message to all hosts of its zone.
    byte[] bytes = message.toByteArray();
    to.forEach(peer -> send(peer, message.getBodyCase(), bytes));
  }

  private void send(HostAddress to, PeerMessage.BodyCase kind, byte[] message) {
    channel(to)
        .whenComplete(
            (channel, failure) -> {
              // Drops the message for a peer that reads too slowly; it requests missing state
              // later.
              if (channel != null && channel.isWritable()) {
                write(channel, kind, message);
              }
            });
  }

  @Override
  public CompletableFuture<PeerMessage> request(HostAddress to, PeerMessage.Builder message) {
    long startedNanos = System.nanoTime();
    long exchange = lastExchange.incrementAndGet();
    CompletableFuture<PeerMessage> reply = new CompletableFuture<>();
    pendingReplies.put(exchange, reply);
    PeerMessage request = message.setExchange(exchange).build();
    CompletableFuture<Channel> connection = channel(to);
    connection.whenComplete(
        (channel, failure) -> {
          if (channel == null) {
            reply.completeExceptionally(failure);
          } else {
            channel.attr(WAITING_SINCE_NANOS).setIfAbsent(startedNanos);
            write(channel, request);
          }
        });
    // What has arrived by then is read before it is found that a reply is missing.
    Future<?> timeout =
        loop.next()
            .schedule(
                () -> afterReading(() -> reply.completeExceptionally(new TimeoutException())),
                REPLY_TIMEOUT_MS + lateMs.getAsLong(),
                TimeUnit.MILLISECONDS);
    return reply
        .whenComplete(
            (answer, failure) -> {
              timeout.cancel(false);
              pendingReplies.remove(exchange);
              if (failure != null) {
                dropUnanswered(to, connection, exchange, startedNanos);
              }
            })
        .exceptionallyCompose(
            failure -> CompletableFuture.failedFuture(new PeerUnreachableException(to, failure)));
  }

  /**
   * Drops a connection on which no reply to a request or to a later one has arrived within its
   * timeout: it may have fallen silent for good. The next message opens a new one, even before this
   * one is closed.
   */
  private void dropUnanswered(
      HostAddress peer, CompletableFuture<Channel> connection, long exchange, long startedNanos) {
    if (!connection.isDone() || connection.isCompletedExceptionally()) {
      // It is not open yet, or was never opened.
      return;
    }
    Channel channel = connection.join();
    Long answered = channel.attr(ANSWERED).get();
    boolean silent = answered == null || answered < exchange;
    if (silent && timeouts.givesUp(peer, waitingMs(channel, startedNanos))) {
      channels.remove(peer, connection);
      channel.close();
    }
  }

  /** For how long a request has had no reply, or an earlier one of the same connection. */
  private static long waitingMs(Channel channel, long startedNanos) {
    Long sinceNanos = channel.attr(WAITING_SINCE_NANOS).get();
    long firstNanos = sinceNanos == null ? startedNanos : sinceNanos;
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - firstNanos);
  }

  @Override
  public void disconnect(HostAddress peer) {
    CompletableFuture<Channel> channel = channels.remove(peer);
    if (channel != null) {
      channel.thenAccept(Channel::close);
    }
  }

  @Override
  public void afterReading(Runnable step) {
    // A scheduled task runs in the next round of the loop, after all connections that can be read.
    EventLoop thread = loop.next();
    thread.execute(() -> thread.schedule(step, 1, TimeUnit.NANOSECONDS));
  }

  private void write(Channel channel, PeerMessage message) {
    write(channel, message.getBodyCase(), message.toByteArray());
  }

  private void write(Channel channel, PeerMessage.BodyCase kind, byte[] bytes) {
    sent.add(kind, bytes.length);
    channel.writeAndFlush(Unpooled.wrappedBuffer(bytes));
  }

  private CompletableFuture<Channel> channel(HostAddress to) {
    return channels.computeIfAbsent(to, this::connect);
  }

  private CompletableFuture<Channel> connect(HostAddress to) {
    PeerPipeline pipeline = new PeerPipeline(this::received, received, droppedMessages, log);
    CompletableFuture<Channel> connected = new CompletableFuture<>();
    new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
        .option(ChannelOption.TCP_NODELAY, true)
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                tls.client()
                    .ifPresent(ssl -> channel.pipeline().addLast(ssl.newHandler(channel.alloc())));
                pipeline.install(channel.pipeline());
              }
            })
        .connect(to.ip(), to.port())
        .addListener((ChannelFuture done) -> connected(to, done, connected));
    return connected;
  }

  private void connected(HostAddress to, ChannelFuture done, CompletableFuture<Channel> connected) {
    if (!done.isSuccess()) {
      channels.remove(to, connected);
      connected.completeExceptionally(new PeerUnreachableException(to, done.cause()));
      return;
    }
    Channel channel = done.channel();
    channel.attr(OPENED_TO).set(to);
    channel.closeFuture().addListener(closed -> channels.remove(to, connected));
    connected.complete(channel);
  }

  @Override
  public void close() {
    loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }
}
