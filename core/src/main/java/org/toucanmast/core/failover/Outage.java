package org.toucanmast.core.failover;

/**
 * How long a group will still be without a primary that this VM reaches.
 *
 * <p>Answers the load pattern of statements that arrive during an outage: a short one is waited
 * out, in a long one statements are refused when they come.
 */
public final class Outage {
  private Outage() {}

  /**
   * Returns the expected rest of an outage, in milliseconds: what a change of primary usually
   * takes, and once it has lasted longer, as long again as it has lasted.
   *
   * @param lasted how long it has lasted
   * @param usual how long a change of primary usually takes
   */
  public static double remaining(double lasted, double usual) {
    return lasted < usual ? usual - lasted : lasted;
  }
}
