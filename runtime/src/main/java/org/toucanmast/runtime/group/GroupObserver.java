package org.toucanmast.runtime.group;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import org.toucanmast.core.configuration.Database;
import org.toucanmast.core.configuration.EndpointDescription;
import org.toucanmast.core.group.AcknowledgementRule;
import org.toucanmast.core.group.ConfirmationQueue;
import org.toucanmast.core.group.ConfirmationQueue.Settled;
import org.toucanmast.core.group.ConfirmationQueue.Waiting;
import org.toucanmast.core.group.EndpointStatus;
import org.toucanmast.core.group.GroupView;
import org.toucanmast.core.group.ObservationRound;
import org.toucanmast.core.group.Position;
import org.toucanmast.runtime.endpoint.EndpointControl;

/**
 * Runs observation rounds of one database group, at intervals and as soon as an answer waits for
 * confirmation. One round serves all answers that wait when it starts.
 */
public final class GroupObserver {
  private static final long SPACING_IN_MILLISECONDS = 1;
  private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;

  private final Vertx vertx;
  private final EndpointControl control;
  private final LongSupplier clock;
  private final long timeoutInMilliseconds;
  private final GroupView view;
  private final ConfirmationQueue<Promise<ConfirmationResult>> waiting = new ConfirmationQueue<>();
  private final List<Promise<Void>> refreshing = new ArrayList<>();
  private final Set<String> outstanding = new HashSet<>();
  private BiConsumer<ObservationRound, Long> finished = (round, now) -> {};
  private Database database;
  private boolean scheduled;
  private long startedAt;
  private long rounds;

  /**
   * Creates an observer.
   *
   * @param timeout after which a status call counts as unanswered, in nanoseconds
   */
  public GroupObserver(
      Vertx vertx,
      EndpointControl control,
      Database database,
      GroupView view,
      long timeout,
      LongSupplier clock) {
    this.vertx = vertx;
    this.control = control;
    this.database = database;
    this.view = view;
    this.timeoutInMilliseconds = timeout / NANOSECONDS_PER_MILLISECOND;
    this.clock = clock;
  }

  /** Sets what is called with each round whose calls have all ended. */
  public void onFinished(BiConsumer<ObservationRound, Long> listener) {
    finished = listener;
  }

  /** Takes in a changed description of the group. */
  public void update(Database changed) {
    database = changed;
  }

  /** Returns how many rounds were started. */
  public long rounds() {
    return rounds;
  }

  /**
   * Waits until a majority shows that an endpoint was still the primary.
   *
   * @param position the write's position, or the primary's term with index 0 for a read
   * @param since the earliest time at which the confirming round may start, in nanoseconds
   * @param deadline when waiting ends, in nanoseconds
   */
  public Future<ConfirmationResult> confirm(
      AcknowledgementRule rule, String primary, Position position, long since, long deadline) {
    Promise<ConfirmationResult> promise = Promise.promise();
    waiting.add(new Waiting<>(promise, rule, primary, position, since, deadline));
    schedule();
    return promise.future();
  }

  /** Completes when a majority has answered in a round that starts now or soon. */
  public Future<Void> refresh() {
    Promise<Void> promise = Promise.promise();
    refreshing.add(promise);
    schedule();
    return promise.future();
  }

  /** Starts a round now. */
  public void observe() {
    List<Promise<Void>> refreshed = List.copyOf(refreshing);
    refreshing.clear();
    startRound(database.endpoints(), refreshed);
  }

  /** Starts a round of one endpoint only, which costs less while nobody uses the group. */
  public void observeOnly(String endpoint) {
    List<EndpointDescription> targets =
        database.endpoints().stream().filter(each -> each.name().equals(endpoint)).toList();
    startRound(targets, List.of());
  }

  private void startRound(List<EndpointDescription> targets, List<Promise<Void>> refreshed) {
    startedAt = clock.getAsLong();
    rounds++;
    ObservationRound round = new ObservationRound(startedAt, database.majority());
    Tracker tracker = new Tracker(round, refreshed);
    for (EndpointDescription endpoint : targets) {
      if (outstanding.add(endpoint.name())) {
        tracker.expected++;
        control
            .status(endpoint, timeoutInMilliseconds)
            .onComplete(
                status -> tracker.onAnswer(endpoint.name(), status),
                cause -> tracker.onAnswer(endpoint.name(), null));
      }
    }
    if (tracker.expected == 0) {
      refreshed.forEach(Promise::tryComplete);
    }
  }

  /** Ends the waiting of answers whose deadline has passed, and repeats rounds while any wait. */
  public void tick(long now) {
    waiting.expire(now).forEach(promise -> promise.complete(ConfirmationResult.EXPIRED));
    if (!waiting.isEmpty()) {
      schedule();
    }
  }

  private void schedule() {
    if (scheduled) {
      return;
    }
    long sinceLast = clock.getAsLong() - startedAt;
    if (sinceLast >= SPACING_IN_MILLISECONDS * NANOSECONDS_PER_MILLISECOND) {
      observe();
      return;
    }
    scheduled = true;
    vertx.setTimer(
        SPACING_IN_MILLISECONDS,
        timer -> {
          scheduled = false;
          observe();
        });
  }

  private void settle(ObservationRound round) {
    Settled<Promise<ConfirmationResult>> settled = waiting.settle(round);
    settled.confirmed().forEach(promise -> promise.complete(ConfirmationResult.CONFIRMED));
    settled.superseded().forEach(promise -> promise.complete(ConfirmationResult.SUPERSEDED));
  }

  /** Follows the calls of one round. */
  private final class Tracker {
    private final ObservationRound round;
    private int expected;
    private int ended;
    private final List<Promise<Void>> refreshed;
    private boolean learned;

    Tracker(ObservationRound round, List<Promise<Void>> refreshed) {
      this.round = round;
      this.refreshed = refreshed;
    }

    private void onAnswer(String endpoint, EndpointStatus status) {
      outstanding.remove(endpoint);
      ended++;
      if (status == null) {
        view.forget(endpoint);
      } else {
        round.add(status);
        view.learn(status);
        learnOnce();
        settle(round);
      }
      if (ended == expected || ended >= database.majority()) {
        refreshed.forEach(Promise::tryComplete);
      }
      if (ended == expected) {
        finished.accept(round, clock.getAsLong());
        if (!waiting.isEmpty()) {
          schedule();
        }
      }
    }

    private void learnOnce() {
      if (!learned && round.confirmedPrimary().isPresent()) {
        learned = true;
        view.learnRound(round);
      }
    }
  }
}
