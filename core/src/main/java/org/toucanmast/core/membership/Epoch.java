package org.toucanmast.core.membership;

import java.util.SortedSet;
import java.util.TreeSet;

/**
 * One version of the set of VMs that own a share of every allowance, stored in the platform.
 *
 * @param number the version in the platform's store; a higher number is newer
 * @param members the names of the VMs
 */
public record Epoch(long number, SortedSet<String> members) {
  /** The epoch without members that precedes all others. */
  public static final Epoch NONE = new Epoch(0, new TreeSet<>());

  /** Creates an epoch with a copy of the members. */
  public Epoch {
    members = new TreeSet<>(members);
  }
}
