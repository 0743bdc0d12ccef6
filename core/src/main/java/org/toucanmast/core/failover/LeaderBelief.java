package org.toucanmast.core.failover;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.toucanmast.core.catalog.EndpointEntry;

/**
 * Which endpoint of a group leads, as far as this VM knows.
 *
 * <p>An endpoint's acceptance of a transaction proves that it leads; its refusal proves that it
 * does not. What endpoints say of themselves in the directory counts only where nothing is proved.
 */
public final class LeaderBelief {
  private String proven;
  private long provenTerm;
  private final Set<String> refuted = new HashSet<>();
  private final Map<String, Boolean> claims = new HashMap<>();

  /** Notes that an endpoint accepted a transaction or a write. */
  public void proved(String endpointId, long term) {
    if (term < provenTerm) {
      return;
    }
    provenTerm = term;
    proven = endpointId;
    refuted.remove(endpointId);
  }

  /** Notes that an endpoint refused because it does not lead. */
  public void refuted(String endpointId) {
    refuted.add(endpointId);
    if (endpointId.equals(proven)) {
      proven = null;
    }
  }

  /** Notes an endpoint's entry; a changed claim replaces an older refusal. */
  public void entry(EndpointEntry entry) {
    Boolean before = claims.put(entry.id(), entry.claimsPrimary());
    if (entry.claimsPrimary() && !Boolean.TRUE.equals(before)) {
      refuted.remove(entry.id());
    }
  }

  /** Notes that an endpoint is gone. */
  public void removed(String endpointId) {
    claims.remove(endpointId);
    refuted(endpointId);
    refuted.remove(endpointId);
  }

  /** Returns the endpoint that leads; empty when that is not known. */
  public Optional<String> leader() {
    if (proven != null) {
      return Optional.of(proven);
    }
    return claims.entrySet().stream()
        .filter(Map.Entry::getValue)
        .map(Map.Entry::getKey)
        .filter(id -> !refuted.contains(id))
        .min(String::compareTo);
  }

  /** Returns the newest term in which an endpoint was seen to lead. */
  public long provenTerm() {
    return provenTerm;
  }
}
