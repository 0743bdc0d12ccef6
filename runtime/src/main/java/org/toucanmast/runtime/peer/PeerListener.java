package org.toucanmast.runtime.peer;

import org.toucanmast.schema.PeerMessage;

/** Listener for the links to and from peers; called on the request event loop. */
public interface PeerListener {
  /** Called when a link to a peer was opened, so that messages can be sent to it. */
  void onLinkOpened(PeerIdentity peer);

  /** Called when a link that a peer had opened was closed; nothing more comes on it. */
  void onLinkClosed(PeerIdentity peer);

  /** Called for a message that was queued but not sent, since there is no link or it is full. */
  void onNotSent(PeerMessage message);

  /** Called for each message from a peer. */
  void onMessage(PeerIdentity sender, PeerMessage message);
}
