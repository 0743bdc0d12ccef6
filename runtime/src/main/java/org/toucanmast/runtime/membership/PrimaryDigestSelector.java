package org.toucanmast.runtime.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.toucanmast.runtime.group.DatabaseGroup;
import org.toucanmast.schema.PrimaryDigest;

/**
 * Chooses which primaries a heartbeat names: those that changed lately, and some of the others in
 * turn, so that a heartbeat stays small however many databases there are.
 */
final class PrimaryDigestSelector {
  private static final int IN_TURN = 1;
  private static final int MAXIMUM_CHANGED = 32;
  private static final long CHANGED_LATELY_IN_NANOSECONDS = 2_000_000_000L;

  private record Known(long term, long since) {}

  private final Map<String, Known> known = new HashMap<>();
  private String last = "";

  List<PrimaryDigest> next(Map<String, DatabaseGroup> groups, long now) {
    known.keySet().retainAll(groups.keySet());
    List<PrimaryDigest> chosen = new ArrayList<>();
    groups.forEach(
        (name, group) -> {
          if (chosen.size() < MAXIMUM_CHANGED && changedLately(name, group, now)) {
            add(chosen, name, group);
          }
        });
    TreeMap<String, DatabaseGroup> ordered = new TreeMap<>(groups);
    for (int turn = 0; turn < IN_TURN && !ordered.isEmpty(); turn++) {
      String following = ordered.higherKey(last);
      last = following == null ? ordered.firstKey() : following;
      add(chosen, last, ordered.get(last));
    }
    return chosen;
  }

  private boolean changedLately(String name, DatabaseGroup group, long now) {
    long term = group.view().term();
    Known earlier = known.get(name);
    if (earlier == null || earlier.term() != term) {
      known.put(name, new Known(term, now));
      return true;
    }
    return now - earlier.since() < CHANGED_LATELY_IN_NANOSECONDS;
  }

  private static void add(List<PrimaryDigest> chosen, String name, DatabaseGroup group) {
    group
        .view()
        .primary()
        .ifPresent(
            primary ->
                chosen.add(
                    PrimaryDigest.newBuilder()
                        .setDatabase(name)
                        .setEndpoint(primary)
                        .setTerm(group.view().term())
                        .build()));
  }
}
