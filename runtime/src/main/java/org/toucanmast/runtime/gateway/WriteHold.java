package org.toucanmast.runtime.gateway;

import java.util.Optional;
import java.util.function.Predicate;

/**
 * Holds writes and commits back from a primary that is being replaced, so that it acknowledges no
 * commit that the endpoint chosen to replace it may lack.
 */
final class WriteHold {
  private static final long NEVER = Long.MAX_VALUE;

  private final Predicate<EndpointPool> hasRunningWrites;
  private Optional<EndpointPool> held = Optional.empty();
  private long since = NEVER;
  private long quietSince = NEVER;
  private boolean forFailed;

  /**
   * Creates a hold that is not in effect.
   *
   * @param hasRunningWrites tells whether writes or commits are running at an endpoint
   */
  WriteHold(Predicate<EndpointPool> hasRunningWrites) {
    this.hasRunningWrites = hasRunningWrites;
  }

  /** Begins to hold writes back from a primary that works. */
  void begin(EndpointPool primary, long now) {
    held = Optional.of(primary);
    since = now;
    quietSince = NEVER;
    forFailed = false;
  }

  /**
   * Holds writes back from a primary that has failed; returns false if they were held back from it
   * for this reason before.
   */
  boolean beginForFailed(EndpointPool primary, long now) {
    if (isInEffect(primary) && forFailed) {
      return false;
    }
    begin(primary, now);
    forFailed = true;
    return true;
  }

  /** Ends the hold; returns false if there was none. */
  boolean end() {
    boolean ended = held.isPresent();
    held = Optional.empty();
    since = NEVER;
    quietSince = NEVER;
    return ended;
  }

  boolean isInEffect() {
    return held.isPresent();
  }

  boolean isInEffect(EndpointPool pool) {
    return held.isPresent() && held.get() == pool;
  }

  /** Returns for how long writes have been held back, in milliseconds; 0 if they are not. */
  long duration(long now) {
    return held.isPresent() ? now - since : 0;
  }

  /**
   * Returns since when no write has been running at the endpoint, on the steady clock in
   * milliseconds; {@link Long#MAX_VALUE} if one may be running.
   */
  long quietSince(long now) {
    if (quietSince == NEVER && held.isPresent() && !hasRunningWrites.test(held.get())) {
      quietSince = now;
    }
    return quietSince;
  }
}
