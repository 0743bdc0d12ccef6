package org.toucanmast.core.link;

/**
 * Limits what waits to be sent on all links of a VM, in bytes.
 *
 * <p>Load pattern: peers read slowly while long objects of the store, or long results, are due to
 * them; what is written for them would fill the heap. Short frames are always admitted: they carry
 * heartbeats, tokens and the outcomes of statements.
 */
public final class OutputBudget {
  /** Frames up to this length are always admitted. */
  public static final long SHORT_FRAME_IN_BYTES = 64 * 1024;

  private final long maximumBytes;
  private long pendingBytes;

  /**
   * Creates a budget of which nothing is used.
   *
   * @param maximumBytes what may wait on all links together; one link may use half of it
   */
  public OutputBudget(long maximumBytes) {
    this.maximumBytes = maximumBytes;
  }

  /**
   * Returns whether a frame may be written to a link.
   *
   * @param frameBytes the length of the frame
   * @param pendingOnLink what waits to be sent on the link
   */
  public boolean admits(long frameBytes, long pendingOnLink) {
    if (frameBytes <= SHORT_FRAME_IN_BYTES) {
      return true;
    }
    boolean fitsLink = pendingOnLink == 0 || pendingOnLink + frameBytes <= maximumBytes / 2;
    return fitsLink && pendingBytes + frameBytes <= maximumBytes;
  }

  /** Records that bytes were written to a link. */
  public void onWritten(long bytes) {
    pendingBytes += bytes;
  }

  /** Records that bytes were sent, or lost with their link. */
  public void onSent(long bytes) {
    pendingBytes -= bytes;
  }

  /** Returns what waits to be sent on all links, in bytes. */
  public long pendingBytes() {
    return pendingBytes;
  }
}
