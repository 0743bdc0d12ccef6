package org.toucanmast.core.membership;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/**
 * Rendezvous hashing: assigns keys to members. All VMs compute the same ranking of the same members
 * for a key.
 */
public final class Rendezvous {
  private static final HashFunction HASH = Hashing.murmur3_128(0x70C4);

  /** A member and the value that it is sorted by. */
  private record Valued<T>(String member, T value) {}

  private Rendezvous() {}

  /** Returns the members in the order of their rank for the key, the assigned member first. */
  public static List<String> rank(String key, Collection<String> members) {
    return sortedBy(members, member -> score(key, member));
  }

  /** Returns the member assigned to the key; empty when there are no members. */
  public static Optional<String> first(String key, Collection<String> members) {
    return members.stream().min(byRank(key));
  }

  /**
   * Returns the members in the order of their rank for the key, the assigned member first. A member
   * with twice the weight is assigned twice as many keys.
   *
   * <p>Source: weighted rendezvous hashing, Schindelhauer and Schomaker, Weighted Distributed Hash
   * Tables, 2005.
   */
  public static List<String> rankByWeight(String key, Map<String, Double> weights) {
    return sortedBy(weights.keySet(), member -> cost(key, member, weights.get(member)));
  }

  /** Sorts members by a value that is computed once for each; equal values sort by name. */
  private static <T extends Comparable<T>> List<String> sortedBy(
      Collection<String> members, Function<String, T> value) {
    return members.stream()
        .map(member -> new Valued<>(member, value.apply(member)))
        .sorted(
            Comparator.comparing((Valued<T> valued) -> valued.value())
                .thenComparing(Valued::member))
        .map(Valued::member)
        .toList();
  }

  private static double cost(String key, String member, double weight) {
    double uniform = ((score(key, member) >>> 11) + 0.5) * 0x1.0p-53;
    return -Math.log(uniform) / weight;
  }

  private static Comparator<String> byRank(String key) {
    return Comparator.<String>comparingLong(member -> score(key, member))
        .thenComparing(Comparator.naturalOrder());
  }

  private static long score(String key, String member) {
    return HASH.newHasher()
        .putString(key, StandardCharsets.UTF_8)
        .putByte((byte) 0)
        .putString(member, StandardCharsets.UTF_8)
        .hash()
        .asLong();
  }
}
