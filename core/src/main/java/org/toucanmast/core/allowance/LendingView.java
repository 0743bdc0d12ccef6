package org.toucanmast.core.allowance;

import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import org.toucanmast.core.membership.Epoch;
import org.toucanmast.core.membership.Rendezvous;

/**
 * Assignment of the holder to which a VM lends its share of each allowance: the first member by
 * rendezvous hashing that is not skipped.
 *
 * @param epoch the members, each of which owns an equal share
 * @param skipped the members that are skipped because they are unreachable or leaving
 */
public record LendingView(Epoch epoch, SortedSet<String> skipped) {
  /** The view before any epoch. */
  public static final LendingView NONE = new LendingView(Epoch.NONE, new TreeSet<>());

  /** Copies the set of skipped members. */
  public LendingView {
    skipped = new TreeSet<>(skipped);
  }

  /** Returns the holder of a customer's allowance in this view. */
  public Optional<String> holderOf(String customer) {
    return Rendezvous.first("allowance/" + customer, candidates());
  }

  /** Returns the members that are not skipped. */
  public Set<String> candidates() {
    Set<String> candidates = new TreeSet<>(epoch.members());
    candidates.removeAll(skipped);
    return candidates;
  }

  /** Returns one member's share of each allowance, from 0 to 1. */
  public double fraction() {
    return epoch.members().isEmpty() ? 0 : 1.0 / epoch.members().size();
  }
}
