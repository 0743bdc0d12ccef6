package org.toucanmast.runtime.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.ssl.SslHandler;
import io.netty.handler.ssl.SslHandshakeCompletionEvent;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Optional;
import org.toucanmast.schema.PeerHello;
import org.toucanmast.schema.PeerMessage;

/** One end of a link: says hello, checks the other end's hello, then passes messages on. */
final class LinkHandler extends SimpleChannelInboundHandler<PeerMessage> {
  private static final Logger log = System.getLogger(LinkHandler.class.getName());

  /** What the owner of a link does with it. */
  interface Owner {
    /** The other end named itself. */
    void onIdentified(ChannelHandlerContext context, PeerIdentity peer);

    /** A message came from an identified peer. */
    void onMessage(PeerIdentity peer, PeerMessage message);

    /** The link closed. */
    void onClosed(PeerIdentity peer);
  }

  private final PeerHello own;
  private final PeerCounters counters;
  private final Owner owner;
  private PeerIdentity peer;

  LinkHandler(PeerHello own, PeerCounters counters, Owner owner) {
    this.own = own;
    this.counters = counters;
    this.owner = owner;
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof SslHandshakeCompletionEvent handshake && handshake.isSuccess()) {
      context.writeAndFlush(PeerMessage.newBuilder().setHello(own).build());
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, PeerMessage message) {
    counters.onReceived();
    if (peer != null && !message.hasHello()) {
      owner.onMessage(peer, message);
      return;
    }
    if (peer != null || !message.hasHello() || !isGenuine(context, message.getHello())) {
      refuse(context, "unexpected or foreign message");
      return;
    }
    PeerHello hello = message.getHello();
    peer =
        new PeerIdentity(
            hello.getVm(), hello.getDataCentre(), hello.getAddress(), hello.getIncarnation());
    owner.onIdentified(context, peer);
  }

  private static boolean isGenuine(ChannelHandlerContext context, PeerHello hello) {
    SslHandler tls = context.pipeline().get(SslHandler.class);
    Optional<String> certified = PeerSecurity.commonName(tls.engine().getSession());
    return certified.filter(hello.getVm()::equals).isPresent();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    if (peer != null) {
      owner.onClosed(peer);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    refuse(context, cause.getClass().getSimpleName() + ": " + cause.getMessage());
  }

  private void refuse(ChannelHandlerContext context, String reason) {
    counters.onRefused();
    log.log(Level.WARNING, "peer link {0} closed: {1}", context.channel().remoteAddress(), reason);
    context.close();
  }
}
