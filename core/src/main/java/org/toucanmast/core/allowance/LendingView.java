package org.toucanmast.core.allowance;

import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import org.toucanmast.core.membership.Epoch;
import org.toucanmast.core.membership.Rendezvous;

/**
 * To whom a VM lends its share of each allowance: to the first member, by rendezvous hashing, that
 * it does not pass over.
 *
 * @param epoch the members, each of which owns an equal share
 * @param skipped members that are passed over because they are silent or leaving
 */
public record LendingView(Epoch epoch, SortedSet<String> skipped) {
  /** The view before any epoch. */
  public static final LendingView NONE = new LendingView(Epoch.NONE, new TreeSet<>());

  /** Keeps a copy of the set. */
  public LendingView {
    skipped = new TreeSet<>(skipped);
  }

  /** Returns the holder of a customer's allowance in this view. */
  public Optional<String> holderOf(String customer) {
    return Rendezvous.first("allowance/" + customer, candidates());
  }

  /** Returns the members that are not passed over. */
  public Set<String> candidates() {
    Set<String> candidates = new TreeSet<>(epoch.members());
    candidates.removeAll(skipped);
    return candidates;
  }

  /** Returns one member's part of each allowance. */
  public double fraction() {
    return epoch.members().isEmpty() ? 0 : 1.0 / epoch.members().size();
  }
}
