package org.toucanmast.core.group;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/**
 * Replies of a primary that wait for a majority to confirm that it was still the primary.
 *
 * <p>One observation round serves every reply that was waiting when the round started. A reply that
 * no round confirms before its deadline expires, and its outcome is then unknown.
 *
 * @param <T> the caller's object for a reply
 */
public final class ConfirmationQueue<T> {

  /**
   * A reply that waits for confirmation.
   *
   * @param item the caller's object for the reply
   * @param rule the condition that confirms it
   * @param primary the endpoint that replied
   * @param position the write's position, or the primary's term and index 0 for a read
   * @param earliestRoundStart the earliest start of a round that can confirm the reply, in
   *     nanoseconds
   * @param deadline when the reply expires, in nanoseconds
   */
  public record PendingReply<T>(
      T item,
      AcknowledgementRule rule,
      String primary,
      Position position,
      long earliestRoundStart,
      long deadline) {
    /** Returns whether this is the reply to a read. */
    public boolean isRead() {
      return position.index() == 0;
    }
  }

  /**
   * The replies for which a round was conclusive.
   *
   * @param confirmed replies that may be returned to their callers
   * @param superseded reads whose primary was replaced in a later term; they can be retried
   */
  public record Settled<T>(List<T> confirmed, List<T> superseded) {}

  private final Deque<PendingReply<T>> waiting = new ArrayDeque<>();

  /** Adds a reply. */
  public void add(PendingReply<T> reply) {
    waiting.add(reply);
  }

  /** Returns whether no reply is waiting. */
  public boolean isEmpty() {
    return waiting.isEmpty();
  }

  /** Removes and returns the replies for which the round is conclusive. */
  public Settled<T> settle(ObservationRound round) {
    Settled<T> settled = new Settled<>(new ArrayList<>(), new ArrayList<>());
    Iterator<PendingReply<T>> iterator = waiting.iterator();
    while (iterator.hasNext()) {
      PendingReply<T> reply = iterator.next();
      if (round.startedAt() - reply.earliestRoundStart() < 0) {
        continue;
      }
      if (isConfirmed(round, reply)) {
        settled.confirmed().add(reply.item());
        iterator.remove();
      } else if (reply.isRead() && round.showsTermAbove(reply.position().term())) {
        settled.superseded().add(reply.item());
        iterator.remove();
      }
    }
    return settled;
  }

  /**
   * Removes and returns the replies whose deadline has passed.
   *
   * @param now the current time, in nanoseconds
   */
  public List<T> expire(long now) {
    List<T> expired = new ArrayList<>();
    Iterator<PendingReply<T>> iterator = waiting.iterator();
    while (iterator.hasNext()) {
      PendingReply<T> reply = iterator.next();
      if (now - reply.deadline() >= 0) {
        expired.add(reply.item());
        iterator.remove();
      }
    }
    return expired;
  }

  /** Removes and returns all replies, whatever their deadline. */
  public List<T> removeAll() {
    List<T> removed = new ArrayList<>(waiting.stream().map(PendingReply::item).toList());
    waiting.clear();
    return removed;
  }

  private static <T> boolean isConfirmed(ObservationRound round, PendingReply<T> reply) {
    if (round.confirms(reply.rule(), reply.primary(), reply.position())) {
      return true;
    }
    return !reply.isRead() && round.showsSurvivalOf(reply.position());
  }
}
