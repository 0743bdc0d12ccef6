package org.toucanmast.runtime.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.toucanmast.runtime.group.DatabaseGroup;
import org.toucanmast.schema.PrimaryDigest;

/**
 * Selects the primaries that a heartbeat reports: those that changed recently, and one database
 * after the other in round-robin order, so that the size of a heartbeat does not grow with the
 * number of databases.
 */
final class PrimaryDigestSelector {
  private static final int ROUND_ROBIN_DIGESTS = 1;
  private static final int MAXIMUM_CHANGED_DIGESTS = 32;
  private static final long RECENT_CHANGE_IN_NANOSECONDS = 2_000_000_000L;

  private record KnownTerm(long term, long since) {}

  private final Map<String, KnownTerm> knownTerms = new HashMap<>();
  private String lastDatabase = "";

  List<PrimaryDigest> select(Map<String, DatabaseGroup> groups, long now) {
    knownTerms.keySet().retainAll(groups.keySet());
    List<PrimaryDigest> selected = new ArrayList<>();
    groups.forEach(
        (name, group) -> {
          if (selected.size() < MAXIMUM_CHANGED_DIGESTS && changedRecently(name, group, now)) {
            add(selected, name, group);
          }
        });
    TreeMap<String, DatabaseGroup> groupsByName = new TreeMap<>(groups);
    for (int count = 0; count < ROUND_ROBIN_DIGESTS && !groupsByName.isEmpty(); count++) {
      String nextDatabase = groupsByName.higherKey(lastDatabase);
      lastDatabase = nextDatabase == null ? groupsByName.firstKey() : nextDatabase;
      add(selected, lastDatabase, groupsByName.get(lastDatabase));
    }
    return selected;
  }

  private boolean changedRecently(String name, DatabaseGroup group, long now) {
    long term = group.view().term();
    KnownTerm knownTerm = knownTerms.get(name);
    if (knownTerm == null || knownTerm.term() != term) {
      knownTerms.put(name, new KnownTerm(term, now));
      return true;
    }
    return now - knownTerm.since() < RECENT_CHANGE_IN_NANOSECONDS;
  }

  private static void add(List<PrimaryDigest> selected, String name, DatabaseGroup group) {
    group
        .view()
        .primary()
        .ifPresent(
            primary ->
                selected.add(
                    PrimaryDigest.newBuilder()
                        .setDatabase(name)
                        .setEndpoint(primary)
                        .setTerm(group.view().term())
                        .build()));
  }
}
