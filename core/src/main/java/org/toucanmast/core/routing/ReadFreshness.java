package org.toucanmast.core.routing;

/**
 * How fresh a read must be.
 *
 * @param maximumAge the accepted age in nanoseconds, or -1 when no age was accepted
 */
public record ReadFreshness(long maximumAge) {
  /** No stated age: the session's own position decides. */
  public static final ReadFreshness OF_SESSION = new ReadFreshness(-1);

  /** Tells whether the caller accepts data of a stated age. */
  public boolean acceptsAge() {
    return maximumAge >= 0;
  }
}
