package org.toucanmast.core.membership;

import java.util.SortedSet;
import java.util.TreeSet;

/**
 * The VMs that own shares of the allowances; kept in the platform.
 *
 * @param number the platform's version of it; higher is newer
 * @param members names of VMs
 */
public record Epoch(long number, SortedSet<String> members) {
  /** The epoch before the first member. */
  public static final Epoch NONE = new Epoch(0, new TreeSet<>());

  /** Keeps a copy of the members. */
  public Epoch {
    members = new TreeSet<>(members);
  }
}
