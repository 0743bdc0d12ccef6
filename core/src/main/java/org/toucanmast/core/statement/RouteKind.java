package org.toucanmast.core.statement;

/** How fresh the data must be that reads of a route see. */
public enum RouteKind {
  /** Every acknowledged commit; reads run at the primary. */
  PRIMARY(false),
  /** Every commit that was acknowledged longer ago than the route's staleness. */
  BOUNDED(true),
  /** As {@link #BOUNDED}, and every commit of the same session. */
  READ_YOUR_WRITES(true);

  private final boolean replicasAllowed;

  RouteKind(boolean replicasAllowed) {
    this.replicasAllowed = replicasAllowed;
  }

  /** Returns whether a replica may serve reads of this kind. */
  public boolean replicasAllowed() {
    return replicasAllowed;
  }
}
