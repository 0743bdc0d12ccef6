package org.toucanmast.core.feature;

/** A part of the product that takes effect only where a deployment's settings switch it on. */
public enum Feature {
  /** Statements are ordered, admitted and placed by their latency objectives. */
  SCHEDULING_BY_OBJECTIVE,
  /** The number of concurrent statements that each endpoint serves well is learned. */
  LEARNED_LIMITS,
  /** A VM that is short of processor time waits longer before it suspects its peers. */
  LOCAL_HEALTH,
  /** Reads go to a gateway in the data centre in which they arrive, if a replica is there. */
  NEARBY_READS
}
