package org.toucanmast.runtime.peer;

import org.toucanmast.schema.PeerMessage;

/** What the links tell the rest of the VM; called on the requests duty's thread. */
public interface PeerEvents {
  /** A link to a peer is open, so that messages can be sent to it. */
  void onLinked(PeerIdentity peer);

  /** A message came. */
  void onMessage(PeerIdentity sender, PeerMessage message);
}
