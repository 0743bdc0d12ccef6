package org.toucanmast.core.membership;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Rendezvous hashing: every VM ranks the same members in the same order for a duty. */
public final class Rendezvous {
  private static final HashFunction HASH = Hashing.murmur3_128(0x70C4);

  private Rendezvous() {}

  /** Returns all members, the first choice for the duty first. */
  public static List<String> rank(String duty, Collection<String> members) {
    return members.stream().sorted(order(duty)).toList();
  }

  /** Returns the first choice among the members. */
  public static Optional<String> first(String duty, Collection<String> members) {
    return members.stream().min(order(duty));
  }

  /**
   * Returns all members, the first choice for the duty first; a member of twice the weight is first
   * choice for twice as many duties.
   *
   * <p>Source: weighted rendezvous hashing, Schindelhauer and Schomaker, Weighted Distributed Hash
   * Tables, 2005.
   */
  public static List<String> rankByWeight(String duty, Map<String, Double> weights) {
    return weights.keySet().stream()
        .sorted(
            Comparator.<String>comparingDouble(member -> cost(duty, member, weights.get(member)))
                .thenComparing(Comparator.naturalOrder()))
        .toList();
  }

  private static double cost(String duty, String member, double weight) {
    double uniform = ((score(duty, member) >>> 11) + 0.5) * 0x1.0p-53;
    return -Math.log(uniform) / weight;
  }

  private static Comparator<String> order(String duty) {
    return Comparator.<String>comparingLong(member -> score(duty, member))
        .thenComparing(Comparator.naturalOrder());
  }

  private static long score(String duty, String member) {
    return HASH.newHasher()
        .putString(duty, StandardCharsets.UTF_8)
        .putByte((byte) 0)
        .putString(member, StandardCharsets.UTF_8)
        .hash()
        .asLong();
  }
}
