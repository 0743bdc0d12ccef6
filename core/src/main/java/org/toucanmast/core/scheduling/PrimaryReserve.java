package org.toucanmast.core.scheduling;

/**
 * Keeps one of a gateway's places at the primary for the statements that only it can run.
 *
 * <p>Load: replicas lag behind, and reads that need a newer position fill every slot of the
 * primary, where short and urgent writes then wait for the service time of a read.
 */
public final class PrimaryReserve {
  /** The reserve is kept for this long after the last statement that only the primary can run. */
  private static final long WINDOW_IN_MILLISECONDS = 1_000;

  private long lastArrivalAt = Long.MIN_VALUE / 2;

  /** Records the arrival of a statement that only the primary can run. */
  public void onPrimaryStatement(long now) {
    lastArrivalAt = now;
  }

  /**
   * Returns whether a read may start at the primary. The gateway sends one statement more than the
   * primary has slots; that place is kept. Keeping an idle slot instead lost the reads a quarter of
   * a primary with four slots in the replay.
   *
   * @param running the number of statements that run at the primary for this gateway
   * @param usableSlots the number of statements that the primary runs concurrently
   */
  public boolean isOpenToReads(int running, int usableSlots, long now) {
    return now - lastArrivalAt >= WINDOW_IN_MILLISECONDS || running < Math.max(1, usableSlots);
  }
}
