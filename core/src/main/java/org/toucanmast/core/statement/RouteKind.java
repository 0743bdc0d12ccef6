package org.toucanmast.core.statement;

/** The consistency of a route: the commits that its reads must see. */
public enum RouteKind {
  /** Every acknowledged commit; reads run at the primary. */
  PRIMARY(false),
  /** Every commit that was acknowledged longer ago than the route's maximum staleness. */
  BOUNDED(true),
  /** Like {@link #BOUNDED}, and in addition every commit of the same session. */
  READ_YOUR_WRITES(true);

  private final boolean replicasAllowed;

  RouteKind(boolean replicasAllowed) {
    this.replicasAllowed = replicasAllowed;
  }

  /** Returns whether replicas may serve reads of this kind. */
  public boolean replicasAllowed() {
    return replicasAllowed;
  }
}
