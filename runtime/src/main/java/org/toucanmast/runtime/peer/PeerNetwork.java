package org.toucanmast.runtime.peer;

import com.codahale.metrics.MetricRegistry;
import com.google.common.net.HostAndPort;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
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
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.toucanmast.runtime.eventloop.EventLoopQueue;
import org.toucanmast.schema.PeerHello;
import org.toucanmast.schema.PeerMessage;
import org.toucanmast.schema.PeerSettings;

/**
 * The links to and from all peers, on a thread of their own.
 *
 * <p>Each VM opens one link to each peer and sends on it; what it receives comes over the links
 * that peers opened. A link that is down or full drops messages: heartbeats and asks are repeated,
 * and forwarded requests time out.
 */
public final class PeerNetwork {
  private static final int LENGTH_BYTES = 4;
  private static final int CONNECT_TIMEOUT_IN_MILLISECONDS = 1_000;
  private static final long REDIAL_INTERVAL_IN_MILLISECONDS = 200;
  private static final int LOW_WATER_MARK_IN_BYTES = 512 * 1024;
  private static final int HIGH_WATER_MARK_IN_BYTES = 2 * 1024 * 1024;

  private record Outgoing(String vm, PeerMessage message) {}

  /** A message from a peer, or null when the link to the peer was opened. */
  private record Incoming(PeerIdentity sender, PeerMessage message) {
    private void deliverTo(PeerEvents events) {
      if (message == null) {
        events.onLinked(sender);
      } else {
        events.onMessage(sender, message);
      }
    }
  }

  private final PeerSettings settings;
  private final PeerHello hello;
  private final PeerSecurity security;
  private final PeerCounters counters;
  private final MultiThreadIoEventLoopGroup group;
  private final EventLoop loop;
  private final EventLoopQueue<Outgoing> outgoing;
  private final EventLoopQueue<Incoming> incoming;
  private final EventLoopQueue<Set<String>> targets;
  private final Map<String, Channel> channelsByVm = new HashMap<>();
  private final Set<String> dialled = new HashSet<>();
  private final Set<String> ownAddresses = new HashSet<>();
  private Set<String> wantedAddresses = Set.of();

  /**
   * Creates the network; nothing is opened yet.
   *
   * @param requests runs a task on the requests duty's thread
   * @param events receives messages on that thread
   * @throws PeerException when the certificates cannot be read
   */
  public PeerNetwork(
      PeerSettings settings,
      PeerHello hello,
      MetricRegistry metrics,
      Executor requests,
      PeerEvents events)
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
    this.incoming = new EventLoopQueue<>(capacity, requests, event -> event.deliverTo(events));
    this.targets = new EventLoopQueue<>(capacity, loop, this::retarget);
  }

  /**
   * Opens the listener and begins to dial.
   *
   * @throws PeerException when the address cannot be listened on
   */
  public void start() throws PeerException {
    HostAndPort address = HostAndPort.fromString(settings.getAddress());
    ServerBootstrap server =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .childHandler(initializer(security.server(), new InboundOwner()));
    try {
      server.bind(address.getHost(), address.getPort()).syncUninterruptibly();
    } catch (RuntimeException e) {
      throw new PeerException("listening on [peers] address " + address, e);
    }
    targets.offer(Set.of());
    loop.scheduleWithFixedDelay(
        this::dialMissing, 0, REDIAL_INTERVAL_IN_MILLISECONDS, TimeUnit.MILLISECONDS);
  }

  /** Sets which addresses are dialled, beside the seeds of the settings. */
  public void dial(Set<String> addresses) {
    targets.offer(Set.copyOf(addresses));
  }

  /** Sends a message to a VM; returns false when too much waits already. */
  public boolean send(String vm, PeerMessage message) {
    return outgoing.offer(new Outgoing(vm, message));
  }

  /** Closes all links. */
  public void stop() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  private void transmit(Outgoing out) {
    Channel channel = channelsByVm.get(out.vm());
    if (channel == null || !channel.isWritable()) {
      counters.onDropped();
      return;
    }
    counters.onSent(out.message().getSerializedSize() + LENGTH_BYTES);
    channel.writeAndFlush(out.message(), channel.voidPromise());
  }

  private void retarget(Set<String> addresses) {
    Set<String> wanted = new HashSet<>(addresses);
    wanted.addAll(settings.getSeedAddressesList());
    wanted.remove(settings.getAddress());
    wantedAddresses = wanted;
  }

  private void dialMissing() {
    for (String address : wantedAddresses) {
      if (!ownAddresses.contains(address) && dialled.add(address)) {
        dialOne(address);
      }
    }
  }

  private void dialOne(String address) {
    HostAndPort target = HostAndPort.fromString(address);
    Bootstrap bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_IN_MILLISECONDS)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(
                ChannelOption.WRITE_BUFFER_WATER_MARK,
                new WriteBufferWaterMark(LOW_WATER_MARK_IN_BYTES, HIGH_WATER_MARK_IN_BYTES))
            .handler(initializer(security.client(), new OutboundOwner(address)));
    Channel channel = bootstrap.connect(target.getHost(), target.getPort()).channel();
    channel.closeFuture().addListener(closed -> dialled.remove(address));
  }

  private ChannelInitializer<SocketChannel> initializer(SslContext tls, LinkHandler.Owner owner) {
    int maximum = (int) settings.getMaximumMessageSize();
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(SocketChannel channel) {
        channel
            .pipeline()
            .addLast(tls.newHandler(channel.alloc()))
            .addLast(new LengthFieldBasedFrameDecoder(maximum, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
            .addLast(new ProtobufDecoder(PeerMessage.getDefaultInstance()))
            .addLast(new LengthFieldPrepender(LENGTH_BYTES))
            .addLast(new ProtobufEncoder())
            .addLast(new LinkHandler(hello, counters, owner));
      }
    };
  }

  /** Links that peers opened: messages come in. */
  private final class InboundOwner implements LinkHandler.Owner {
    @Override
    public void onIdentified(ChannelHandlerContext context, PeerIdentity peer) {}

    @Override
    public void onMessage(PeerIdentity peer, PeerMessage message) {
      incoming.offer(new Incoming(peer, message));
    }

    @Override
    public void onClosed(PeerIdentity peer) {}
  }

  /** Links that this VM opened: messages go out. */
  private final class OutboundOwner implements LinkHandler.Owner {
    private final String address;
    private final Map<PeerIdentity, Channel> own = new HashMap<>();

    private OutboundOwner(String address) {
      this.address = address;
    }

    @Override
    public void onIdentified(ChannelHandlerContext context, PeerIdentity peer) {
      if (peer.name().equals(hello.getVm())) {
        ownAddresses.add(address);
        context.close();
        return;
      }
      own.put(peer, context.channel());
      channelsByVm.put(peer.name(), context.channel());
      incoming.offer(new Incoming(peer, null));
    }

    @Override
    public void onMessage(PeerIdentity peer, PeerMessage message) {
      counters.onRefused();
    }

    @Override
    public void onClosed(PeerIdentity peer) {
      Channel closed = own.remove(peer);
      channelsByVm.remove(peer.name(), closed);
    }
  }
}
