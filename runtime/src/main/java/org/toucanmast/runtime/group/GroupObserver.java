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
import org.toucanmast.core.group.ConfirmationQueue.PendingReply;
import org.toucanmast.core.group.ConfirmationQueue.Settled;
import org.toucanmast.core.group.EndpointStatus;
import org.toucanmast.core.group.GroupView;
import org.toucanmast.core.group.ObservationRound;
import org.toucanmast.core.group.Position;
import org.toucanmast.runtime.endpoint.EndpointControl;

/**
 * Runs the observation rounds of one database group: at intervals, and as soon as an answer waits
 * for confirmation. One round can confirm all answers that wait when it starts.
 */
public final class GroupObserver {
  private static final long MINIMUM_ROUND_INTERVAL_IN_MILLISECONDS = 1;
  private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;

  private final Vertx vertx;
  private final EndpointControl control;
  private final LongSupplier clock;
  private final long timeoutInMilliseconds;
  private final GroupView view;
  private final ConfirmationQueue<Promise<ConfirmationResult>> pendingConfirmations =
      new ConfirmationQueue<>();
  private final List<Promise<Void>> pendingRefreshes = new ArrayList<>();
  private final Set<String> outstandingEndpoints = new HashSet<>();
  private BiConsumer<ObservationRound, Long> roundListener = (round, now) -> {};
  private Database database;
  private boolean roundScheduled;
  private long lastRoundStartedAt;
  private long roundCount;

  /**
   * Creates an observer.
   *
   * @param view the view of the group that the rounds update
   * @param timeoutInNanoseconds the timeout of a status call
   * @param clock the monotonic clock, in nanoseconds
   */
  public GroupObserver(
      Vertx vertx,
      EndpointControl control,
      Database database,
      GroupView view,
      long timeoutInNanoseconds,
      LongSupplier clock) {
    this.vertx = vertx;
    this.control = control;
    this.database = database;
    this.view = view;
    this.timeoutInMilliseconds = timeoutInNanoseconds / NANOSECONDS_PER_MILLISECOND;
    this.clock = clock;
  }

  /**
   * Sets the listener that receives each round, with the time, once all of its calls have ended.
   */
  public void setRoundListener(BiConsumer<ObservationRound, Long> listener) {
    roundListener = listener;
  }

  /** Applies a new description of the group to the next rounds. */
  public void update(Database newDatabase) {
    database = newDatabase;
  }

  /** Returns the number of rounds that were started. */
  public long roundCount() {
    return roundCount;
  }

  /**
   * Waits until a majority of the group confirms an answer of its primary.
   *
   * @param rule what a replica must report to confirm the answer
   * @param primary the endpoint that answered
   * @param position the write's position, or the primary's term with index 0 for a read
   * @param since the earliest time at which the confirming round may start, in nanoseconds
   * @param deadline when the confirmation expires, in nanoseconds
   */
  public Future<ConfirmationResult> confirm(
      AcknowledgementRule rule, String primary, Position position, long since, long deadline) {
    Promise<ConfirmationResult> promise = Promise.promise();
    pendingConfirmations.add(new PendingReply<>(promise, rule, primary, position, since, deadline));
    scheduleRound();
    return promise.future();
  }

  /**
   * Refreshes the view with a round that starts now or after the minimum round interval.
   *
   * @return completes when calls to a majority of the endpoints, or all calls of the round, have
   *     ended, answered or not; never fails
   */
  public Future<Void> refresh() {
    Promise<Void> promise = Promise.promise();
    pendingRefreshes.add(promise);
    scheduleRound();
    return promise.future();
  }

  /** Starts a round now, with all endpoints that have no outstanding status call. */
  public void observe() {
    List<Promise<Void>> refreshes = List.copyOf(pendingRefreshes);
    pendingRefreshes.clear();
    startRound(database.endpoints(), refreshes);
  }

  /** Starts a round of one endpoint only, to save status calls while the group is not in use. */
  public void observeOnly(String endpoint) {
    List<EndpointDescription> targets =
        database.endpoints().stream().filter(each -> each.name().equals(endpoint)).toList();
    startRound(targets, List.of());
  }

  private void startRound(List<EndpointDescription> targets, List<Promise<Void>> refreshes) {
    lastRoundStartedAt = clock.getAsLong();
    roundCount++;
    ObservationRound round = new ObservationRound(lastRoundStartedAt, database.majority());
    RoundTracker tracker = new RoundTracker(round, refreshes);
    for (EndpointDescription endpoint : targets) {
      if (outstandingEndpoints.add(endpoint.name())) {
        tracker.callCount++;
        control
            .status(endpoint, timeoutInMilliseconds)
            .onComplete(
                status -> tracker.onAnswer(endpoint.name(), status),
                cause -> tracker.onAnswer(endpoint.name(), null));
      }
    }
    if (tracker.callCount == 0) {
      refreshes.forEach(Promise::tryComplete);
    }
  }

  /** Expires confirmations whose deadline has passed, and schedules a round while any remain. */
  public void tick(long now) {
    pendingConfirmations
        .expire(now)
        .forEach(promise -> promise.complete(ConfirmationResult.EXPIRED));
    if (!pendingConfirmations.isEmpty()) {
      scheduleRound();
    }
  }

  /** Expires all confirmations, whatever their deadline. */
  public void expireConfirmations() {
    pendingConfirmations
        .removeAll()
        .forEach(promise -> promise.complete(ConfirmationResult.EXPIRED));
  }

  private void scheduleRound() {
    if (roundScheduled) {
      return;
    }
    long elapsedInNanoseconds = clock.getAsLong() - lastRoundStartedAt;
    if (elapsedInNanoseconds
        >= MINIMUM_ROUND_INTERVAL_IN_MILLISECONDS * NANOSECONDS_PER_MILLISECOND) {
      observe();
      return;
    }
    roundScheduled = true;
    vertx.setTimer(
        MINIMUM_ROUND_INTERVAL_IN_MILLISECONDS,
        timer -> {
          roundScheduled = false;
          observe();
        });
  }

  private void settleConfirmations(ObservationRound round) {
    Settled<Promise<ConfirmationResult>> settled = pendingConfirmations.settle(round);
    settled.confirmed().forEach(promise -> promise.complete(ConfirmationResult.CONFIRMED));
    settled.superseded().forEach(promise -> promise.complete(ConfirmationResult.SUPERSEDED));
  }

  /** Tracks the status calls of one round. */
  private final class RoundTracker {
    private final ObservationRound round;
    private int callCount;
    private int completedCalls;
    private final List<Promise<Void>> refreshes;
    private boolean primaryLearned;

    RoundTracker(ObservationRound round, List<Promise<Void>> refreshes) {
      this.round = round;
      this.refreshes = refreshes;
    }

    private void onAnswer(String endpoint, EndpointStatus status) {
      outstandingEndpoints.remove(endpoint);
      completedCalls++;
      if (status == null) {
        view.forget(endpoint);
      } else {
        round.add(status);
        view.learn(status);
        learnConfirmedPrimary();
        settleConfirmations(round);
      }
      if (completedCalls == callCount || completedCalls >= database.majority()) {
        refreshes.forEach(Promise::tryComplete);
      }
      if (completedCalls == callCount) {
        roundListener.accept(round, clock.getAsLong());
        if (!pendingConfirmations.isEmpty()) {
          scheduleRound();
        }
      }
    }

    private void learnConfirmedPrimary() {
      if (!primaryLearned && round.confirmedPrimary().isPresent()) {
        primaryLearned = true;
        view.learnRound(round);
      }
    }
  }
}
