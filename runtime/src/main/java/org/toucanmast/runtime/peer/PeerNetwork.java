package org.toucanmast.runtime.peer;

import com.codahale.metrics.MetricRegistry;
import com.google.common.net.HostAndPort;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.ssl.SslContext;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.toucanmast.runtime.eventloop.EventLoopQueue;
import org.toucanmast.schema.PeerHello;
import org.toucanmast.schema.PeerMessage;
import org.toucanmast.schema.PeerSettings;

/**
 * The links to and from all peers, on an event loop of their own.
 *
 * <p>Each VM opens one link to each peer and sends its messages on it; it receives messages on the
 * links that peers have opened. A link that is down or whose write buffer is full drops messages:
 * heartbeats and token requests are repeated, and forwarded requests time out.
 */
public final class PeerNetwork {
  private static final Logger log = System.getLogger(PeerNetwork.class.getName());
  private static final int LENGTH_FIELD_SIZE_IN_BYTES = 4;
  private static final int CONNECT_TIMEOUT_IN_MILLISECONDS = 1_000;
  private static final long RECONNECT_INTERVAL_IN_MILLISECONDS = 200;
  private static final long SEND_TIMEOUT_IN_MILLISECONDS = 200;
  private static final int LOW_WATER_MARK_IN_BYTES = 512 * 1024;
  private static final int HIGH_WATER_MARK_IN_BYTES = 2 * 1024 * 1024;

  private record Outgoing(String vm, PeerMessage message) {}

  private final PeerSettings settings;
  private final PeerHello hello;
  private final PeerSecurity security;
  private final PeerCounters counters;
  private final MultiThreadIoEventLoopGroup group;
  private final EventLoop loop;
  private final EventLoopQueue<Outgoing> outgoing;
  private final EventLoopQueue<Consumer<PeerListener>> incoming;
  private final EventLoopQueue<Set<String>> targetUpdates;
  private final Map<String, Channel> channelsByVm = new HashMap<>();
  private final Map<String, ChannelFuture> lastWritesByVm = new HashMap<>();
  private final Set<String> connectingOrConnected = new HashSet<>();

  /** The kinds of messages of which one was too long; the log names each kind once. */
  private final Set<PeerMessage.BodyCase> reportedAsTooLong = ConcurrentHashMap.newKeySet();

  private final Set<String> ownAddresses = new HashSet<>();
  private Set<String> targetAddresses = Set.of();

  /**
   * Creates a network without links.
   *
   * @param hello the message by which this VM identifies itself on each link
   * @param requestLoop runs a task on the request event loop
   * @param listener receives messages on the request event loop
   * @throws PeerException when the certificates cannot be read
   */
  public PeerNetwork(
      PeerSettings settings,
      PeerHello hello,
      MetricRegistry metrics,
      Executor requestLoop,
      PeerListener listener)
      throws PeerException {
    this.settings = settings;
    this.hello = hello;
    this.security = PeerSecurity.of(settings);
    this.counters = new PeerCounters(metrics);
    this.group =
        new MultiThreadIoEventLoopGroup(
            1, new DefaultThreadFactory("peers", true), NioIoHandler.newFactory());
    this.loop = group.next();
    int capacity = (int) settings.getRingCapacity();
    this.outgoing = new EventLoopQueue<>(capacity, loop, this::transmit);
    this.incoming = new EventLoopQueue<>(capacity, requestLoop, event -> event.accept(listener));
    this.targetUpdates = new EventLoopQueue<>(capacity, loop, this::setTargetAddresses);
  }

  /**
   * Starts accepting links and connecting to peers.
   *
   * @throws PeerException when the address cannot be bound
   */
  public void start() throws PeerException {
    HostAndPort address = HostAndPort.fromString(settings.getAddress());
    ServerBootstrap server =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .childHandler(initializer(security.server(), new InboundListener()));
    try {
      server.bind(address.getHost(), address.getPort()).syncUninterruptibly();
    } catch (RuntimeException e) {
      throw new PeerException("cannot listen on [peers] address " + address, e);
    }
    targetUpdates.offer(Set.of());
    loop.scheduleWithFixedDelay(
        this::connectToMissing, 0, RECONNECT_INTERVAL_IN_MILLISECONDS, TimeUnit.MILLISECONDS);
  }

  /** Sets the addresses to connect to, in addition to the seed addresses of the settings. */
  public void setPeerAddresses(Set<String> addresses) {
    targetUpdates.offer(Set.copyOf(addresses));
  }

  /**
   * Returns whether links accept a message of this length. A receiver closes the link on a longer
   * one, and all that is under way on the link is lost.
   */
  public boolean accepts(PeerMessage message) {
    return message.getSerializedSize() + LENGTH_FIELD_SIZE_IN_BYTES
        <= settings.getMaximumMessageSize();
  }

  /**
   * Queues a message to a VM; returns false when the queue is full or links do not accept the
   * message.
   */
  public boolean send(String vm, PeerMessage message) {
    if (!accepts(message)) {
      counters.onDropped();
      if (reportedAsTooLong.add(message.getBodyCase())) {
        log.log(
            Level.ERROR,
            "message {0} of {1} bytes is not sent: expected at most maximum-message-size",
            message.getBodyCase(),
            message.getSerializedSize());
      }
      return false;
    }
    return outgoing.offer(new Outgoing(vm, message));
  }

  /** Sends the queued messages, then closes all links and stops the event loop. */
  public void stop() {
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SEND_TIMEOUT_IN_MILLISECONDS);
    for (ChannelFuture write :
        loop.submit(() -> List.copyOf(lastWritesByVm.values())).awaitUninterruptibly().getNow()) {
      long remaining = Math.max(0, deadline - System.nanoTime());
      write.awaitUninterruptibly(remaining, TimeUnit.NANOSECONDS);
    }
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  private void transmit(Outgoing item) {
    Channel channel = channelsByVm.get(item.vm());
    if (channel == null || !channel.isWritable()) {
      counters.onDropped();
      incoming.offer(listener -> listener.onNotSent(item.message()));
      return;
    }
    counters.onSent(item.message().getSerializedSize() + LENGTH_FIELD_SIZE_IN_BYTES);
    lastWritesByVm.put(item.vm(), channel.writeAndFlush(item.message()));
  }

  private void setTargetAddresses(Set<String> addresses) {
    Set<String> targets = new HashSet<>(addresses);
    targets.addAll(settings.getSeedAddressesList());
    targets.remove(settings.getAddress());
    targetAddresses = targets;
  }

  private void connectToMissing() {
    for (String address : targetAddresses) {
      if (!ownAddresses.contains(address) && connectingOrConnected.add(address)) {
        connectTo(address);
      }
    }
  }

  private void connectTo(String address) {
    HostAndPort hostAndPort = HostAndPort.fromString(address);
    Bootstrap bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_IN_MILLISECONDS)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(
                ChannelOption.WRITE_BUFFER_WATER_MARK,
                new WriteBufferWaterMark(LOW_WATER_MARK_IN_BYTES, HIGH_WATER_MARK_IN_BYTES))
            .handler(initializer(security.client(), new OutboundListener(address)));
    Channel channel = bootstrap.connect(hostAndPort.getHost(), hostAndPort.getPort()).channel();
    channel.closeFuture().addListener(closed -> connectingOrConnected.remove(address));
  }

  private ChannelInitializer<SocketChannel> initializer(
      SslContext tls, LinkHandler.Listener listener) {
    int maximumMessageSizeInBytes = (int) settings.getMaximumMessageSize();
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(SocketChannel channel) {
        channel
            .pipeline()
            .addLast(tls.newHandler(channel.alloc()))
            .addLast(
                new LengthFieldBasedFrameDecoder(
                    maximumMessageSizeInBytes,
                    0,
                    LENGTH_FIELD_SIZE_IN_BYTES,
                    0,
                    LENGTH_FIELD_SIZE_IN_BYTES))
            .addLast(new ProtobufDecoder(PeerMessage.getDefaultInstance()))
            .addLast(new LengthFieldPrepender(LENGTH_FIELD_SIZE_IN_BYTES))
            .addLast(new ProtobufEncoder())
            .addLast(new LinkHandler(hello, counters, listener));
      }
    };
  }

  /** Passes on the messages that come in on links that peers have opened. */
  private final class InboundListener implements LinkHandler.Listener {
    @Override
    public void onIdentified(ChannelHandlerContext context, PeerIdentity peer) {}

    @Override
    public void onMessage(PeerIdentity peer, PeerMessage message) {
      incoming.offer(listener -> listener.onMessage(peer, message));
    }

    @Override
    public void onClosed(PeerIdentity peer) {
      incoming.offer(listener -> listener.onLinkClosed(peer));
    }
  }

  /** Keeps track of the links that this VM has opened, on which its messages go out. */
  private final class OutboundListener implements LinkHandler.Listener {
    private final String address;
    private final Map<PeerIdentity, Channel> channelsByPeer = new HashMap<>();

    private OutboundListener(String address) {
      this.address = address;
    }

    @Override
    public void onIdentified(ChannelHandlerContext context, PeerIdentity peer) {
      if (peer.name().equals(hello.getVm())) {
        ownAddresses.add(address);
        context.close();
        return;
      }
      channelsByPeer.put(peer, context.channel());
      channelsByVm.put(peer.name(), context.channel());
      incoming.offer(listener -> listener.onLinkOpened(peer));
    }

    @Override
    public void onMessage(PeerIdentity peer, PeerMessage message) {
      counters.onRefused();
    }

    @Override
    public void onClosed(PeerIdentity peer) {
      Channel closed = channelsByPeer.remove(peer);
      channelsByVm.remove(peer.name(), closed);
    }
  }
}
