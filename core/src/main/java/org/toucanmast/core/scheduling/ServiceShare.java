package org.toucanmast.core.scheduling;

/**
 * Gives starved lower priorities one of every ten places.
 *
 * <p>Load: more urgent statements alone fill the endpoints for seconds. Without a share, the
 * statements of lower priorities would all wait until their deadlines.
 */
final class ServiceShare {
  /** One of this many places goes to a starved priority. */
  static final int PLACES = 10;

  private int places;

  /** Returns whether the next place belongs to a starved priority, if there is one. */
  boolean isDue() {
    return places >= PLACES - 1;
  }

  /** Records a place that a statement got while a less urgent one was starved. */
  void onUrgentPlace() {
    places = Math.min(PLACES - 1, places + 1);
  }

  /** Records a place that a starved priority got. */
  void onSharedPlace() {
    places = 0;
  }
}
