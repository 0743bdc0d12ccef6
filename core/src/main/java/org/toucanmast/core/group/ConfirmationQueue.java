package org.toucanmast.core.group;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/**
 * Answers of a primary that wait until a majority shows that it was still the primary.
 *
 * <p>One round serves every answer that waited when the round started. An answer that no round
 * confirms before its deadline expires; its outcome is then unknown.
 *
 * @param <T> what the caller keeps beside an answer
 */
public final class ConfirmationQueue<T> {

  /**
   * One waiting answer.
   *
   * @param item what the caller keeps
   * @param rule what confirms it
   * @param primary the endpoint that answered
   * @param position the write's position, or the primary's term and index 0 for a read
   * @param since the earliest start of a round that can confirm it, in nanoseconds
   * @param deadline when it expires, in nanoseconds
   */
  public record Waiting<T>(
      T item,
      AcknowledgementRule rule,
      String primary,
      Position position,
      long since,
      long deadline) {
    /** Tells whether the answer is that of a read. */
    public boolean isRead() {
      return position.index() == 0;
    }
  }

  /**
   * What a round settles.
   *
   * @param confirmed answers that may be passed on
   * @param superseded reads whose primary has a successor; they can be sent again
   */
  public record Settled<T>(List<T> confirmed, List<T> superseded) {}

  private final Deque<Waiting<T>> waiting = new ArrayDeque<>();

  /** Adds an answer. */
  public void add(Waiting<T> answer) {
    waiting.add(answer);
  }

  /** Tells whether nothing waits. */
  public boolean isEmpty() {
    return waiting.isEmpty();
  }

  /** Removes and returns what the round settles. */
  public Settled<T> settle(ObservationRound round) {
    Settled<T> settled = new Settled<>(new ArrayList<>(), new ArrayList<>());
    Iterator<Waiting<T>> iterator = waiting.iterator();
    while (iterator.hasNext()) {
      Waiting<T> answer = iterator.next();
      if (round.startedAt() - answer.since() < 0) {
        continue;
      }
      if (isConfirmed(round, answer)) {
        settled.confirmed().add(answer.item());
        iterator.remove();
      } else if (answer.isRead() && round.showsTermAbove(answer.position().term())) {
        settled.superseded().add(answer.item());
        iterator.remove();
      }
    }
    return settled;
  }

  /** Removes and returns the answers whose deadline has passed. */
  public List<T> expire(long now) {
    List<T> expired = new ArrayList<>();
    Iterator<Waiting<T>> iterator = waiting.iterator();
    while (iterator.hasNext()) {
      Waiting<T> answer = iterator.next();
      if (now - answer.deadline() >= 0) {
        expired.add(answer.item());
        iterator.remove();
      }
    }
    return expired;
  }

  private static <T> boolean isConfirmed(ObservationRound round, Waiting<T> answer) {
    if (round.confirms(answer.rule(), answer.primary(), answer.position())) {
      return true;
    }
    return !answer.isRead() && round.successorHolds(answer.position());
  }
}
