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

/**
 * Channel handler of one end of a link. Sends this VM's hello after the TLS handshake, verifies the
 * peer's hello and then passes messages on to a listener.
 */
final class LinkHandler extends SimpleChannelInboundHandler<PeerMessage> {
  private static final Logger log = System.getLogger(LinkHandler.class.getName());

  /** Listener for the events of a link. */
  interface Listener {
    /** Called when the peer's hello has been verified. */
    void onIdentified(ChannelHandlerContext context, PeerIdentity peer);

    /** Called for each message of an identified peer. */
    void onMessage(PeerIdentity peer, PeerMessage message);

    /** Called when the link to an identified peer was closed. */
    void onClosed(PeerIdentity peer);
  }

  private final PeerHello ownHello;
  private final PeerCounters counters;
  private final Listener listener;
  private PeerIdentity peer;

  LinkHandler(PeerHello ownHello, PeerCounters counters, Listener listener) {
    this.ownHello = ownHello;
    this.counters = counters;
    this.listener = listener;
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof SslHandshakeCompletionEvent handshake && handshake.isSuccess()) {
      context.writeAndFlush(PeerMessage.newBuilder().setHello(ownHello).build());
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, PeerMessage message) {
    counters.onReceived();
    if (peer != null && !message.hasHello()) {
      listener.onMessage(peer, message);
      return;
    }
    if (peer != null || !message.hasHello() || !matchesCertificate(context, message.getHello())) {
      refuse(context, "unexpected or foreign message");
      return;
    }
    PeerHello hello = message.getHello();
    peer =
        new PeerIdentity(
            hello.getVm(), hello.getDataCentre(), hello.getAddress(), hello.getIncarnation());
    listener.onIdentified(context, peer);
  }

  /** Returns whether the VM name in a hello is the common name of the peer's certificate. */
  private static boolean matchesCertificate(ChannelHandlerContext context, PeerHello hello) {
    SslHandler tls = context.pipeline().get(SslHandler.class);
    Optional<String> certifiedName = PeerSecurity.commonName(tls.engine().getSession());
    return certifiedName.filter(hello.getVm()::equals).isPresent();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    if (peer != null) {
      listener.onClosed(peer);
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
