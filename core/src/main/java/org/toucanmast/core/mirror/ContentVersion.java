package org.toucanmast.core.mirror;

import java.util.Comparator;

/**
 * A version that the writer of an object puts into its content. It tells which of two states of the
 * object is newer where the store's revisions cannot, since they are of different eras.
 *
 * @param run the run of the writer; higher in each later run
 * @param number the number of the state, which increases within a run
 */
public record ContentVersion(long run, long number) implements Comparable<ContentVersion> {
  private static final Comparator<ContentVersion> ORDER =
      Comparator.comparingLong(ContentVersion::run).thenComparingLong(ContentVersion::number);

  @Override
  public int compareTo(ContentVersion other) {
    return ORDER.compare(this, other);
  }
}
