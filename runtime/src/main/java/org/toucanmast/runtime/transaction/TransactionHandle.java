package org.toucanmast.runtime.transaction;

import com.google.common.base.Splitter;
import java.util.List;
import java.util.Optional;
import java.util.UUID;

/**
 * Identifies a transaction and the VM that owns it.
 *
 * @param vm the name of the owning VM
 * @param database the name of the transaction's database
 * @param term the term in which the transaction began
 * @param id a random id that cannot be guessed
 */
public record TransactionHandle(String vm, String database, long term, String id) {
  private static final char SEPARATOR = '~';
  private static final Splitter PARTS = Splitter.on(SEPARATOR);
  private static final int PART_COUNT = 4;

  /** Creates a handle with a random id for a transaction that the given VM owns. */
  public static TransactionHandle create(String vm, String database, long term) {
    return new TransactionHandle(vm, database, term, UUID.randomUUID().toString());
  }

  /** Parses the text form; returns empty if the text is not a handle. */
  public static Optional<TransactionHandle> parse(String text) {
    List<String> parts = PARTS.splitToList(text);
    if (parts.size() != PART_COUNT || parts.contains("")) {
      return Optional.empty();
    }
    try {
      return Optional.of(
          new TransactionHandle(
              parts.get(0), parts.get(1), Long.parseLong(parts.get(2)), parts.get(3)));
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }

  /** Returns the text form that {@link #parse} reads. */
  public String text() {
    return vm + SEPARATOR + database + SEPARATOR + term + SEPARATOR + id;
  }
}
