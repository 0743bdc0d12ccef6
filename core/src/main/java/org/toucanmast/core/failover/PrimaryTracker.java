package org.toucanmast.core.failover;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.toucanmast.core.catalog.EndpointEntry;

/**
 * Tracks which endpoint of a group is the primary, from the replies and directory entries that this
 * VM has seen.
 *
 * <p>An endpoint that accepts a transaction is confirmed as the primary; one that refuses it as
 * read-only is known not to be the primary. The claims of endpoints in their directory entries are
 * used only while no primary is confirmed.
 */
public final class PrimaryTracker {
  private String confirmed;
  private long provenTerm;
  private final Set<String> nonPrimaries = new HashSet<>();
  private final Map<String, Boolean> primaryClaims = new HashMap<>();

  /**
   * Records that an endpoint accepted a transaction or a write. A term older than the newest
   * confirmed one is ignored.
   */
  public void onPrimaryConfirmed(String endpointId, long term) {
    if (term < provenTerm) {
      return;
    }
    provenTerm = term;
    confirmed = endpointId;
    nonPrimaries.remove(endpointId);
  }

  /** Records that an endpoint refused a transaction or a write because it is not the primary. */
  public void onPrimaryRefuted(String endpointId) {
    nonPrimaries.add(endpointId);
    if (endpointId.equals(confirmed)) {
      confirmed = null;
    }
  }

  /**
   * Records an endpoint's directory entry. An endpoint that newly claims to be the primary is no
   * longer excluded because of an earlier refusal.
   */
  public void onEntry(EndpointEntry entry) {
    Boolean previousClaim = primaryClaims.put(entry.id(), entry.claimsPrimary());
    if (entry.claimsPrimary() && !Boolean.TRUE.equals(previousClaim)) {
      nonPrimaries.remove(entry.id());
    }
  }

  /** Removes an endpoint whose directory entry was removed. */
  public void onEndpointRemoved(String endpointId) {
    primaryClaims.remove(endpointId);
    onPrimaryRefuted(endpointId);
    nonPrimaries.remove(endpointId);
  }

  /** Returns the id of the primary; empty when it is not known. */
  public Optional<String> primary() {
    if (confirmed != null) {
      return Optional.of(confirmed);
    }
    return primaryClaims.entrySet().stream()
        .filter(Map.Entry::getValue)
        .map(Map.Entry::getKey)
        .filter(id -> !nonPrimaries.contains(id))
        .min(String::compareTo);
  }

  /** Returns the newest term in which a primary was confirmed; 0 when there was none. */
  public long confirmedTerm() {
    return provenTerm;
  }
}
