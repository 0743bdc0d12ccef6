package org.toucanmast.core.configuration;

import java.util.List;

/**
 * The ids of the latest edits of a configuration document, the oldest first. They tell whether a
 * document is an earlier state of another, also where versions cannot, since the platform was
 * restored from a copy and gives versions out again.
 */
public record EditHistory(List<String> editIds) {
  /** Creates a history with an unmodifiable copy of the ids. */
  public EditHistory {
    editIds = List.copyOf(editIds);
  }

  /**
   * Returns whether this history ends before another does: all of it is contained in the other one,
   * which continues with further edits.
   */
  public boolean isBefore(EditHistory other) {
    if (other.editIds.isEmpty() || editIds.contains(last(other.editIds))) {
      return false;
    }
    return editIds.isEmpty() || other.editIds.contains(last(editIds));
  }

  private static String last(List<String> ids) {
    return ids.get(ids.size() - 1);
  }
}
