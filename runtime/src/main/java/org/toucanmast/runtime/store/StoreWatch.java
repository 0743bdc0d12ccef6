package org.toucanmast.runtime.store;

import io.vertx.core.Vertx;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.toucanmast.core.mirror.StorePosition;
import org.toucanmast.core.mirror.WatchRole;
import org.toucanmast.runtime.clock.VmClock;
import org.toucanmast.runtime.events.EventKind;
import org.toucanmast.runtime.events.EventLog;
import org.toucanmast.runtime.port.ObjectStore;
import org.toucanmast.runtime.port.ObjectStore.Consistency;
import org.toucanmast.runtime.port.StoreException;
import org.toucanmast.runtime.port.StoreException.Reason;
import org.toucanmast.runtime.port.StoredObject;

/**
 * The calls that one mirror makes to the store: a listing, then one watch after the other while it
 * has the role to watch.
 *
 * <p>A failed watch is resumed at the last known position. The kind is listed again if the store no
 * longer keeps the changes since then, or was restored: its revisions are then of another era, and
 * a watch from a revision of the earlier one would miss changes that were given the same numbers.
 */
final class StoreWatch {
  /** Delay before the next watch after a change, so that one watch fetches several changes. */
  private static final long BATCH_DELAY_IN_MILLISECONDS = 100;

  /**
   * A watch that is answered later than this after it was sent waited for its changes, which were
   * made just before the answer; one that is answered sooner may bring older changes.
   */
  private static final long IMMEDIATE_ANSWER_IN_MILLISECONDS = 100;

  /** Receives the answers of the store. */
  interface Answers {
    /** Returns the position up to which all changes are known. */
    StorePosition completeTo();

    /**
     * The store listed all objects.
     *
     * @param position the position up to which the objects are complete
     * @param current whether the listing contains every change acknowledged before the call
     * @param wentBack whether the store was found to be at an earlier revision within its era
     */
    void onObjects(
        Collection<StoredObject> all, StorePosition position, boolean current, boolean wentBack);

    /** The store answers again after it did not; leases may have run out meanwhile. */
    void onStoreReturned();

    /**
     * A watch was answered.
     *
     * @param waited whether the changes were made just before the answer
     */
    void onChanges(ObjectStore.Changes changes, boolean waited);
  }

  private final Vertx vertx;
  private final VmClock clock;
  private final EventLog log;
  private final KindMirror.Environment environment;
  private final KindMirror.Kind kind;
  private final KindMirror.StoreListener listener;
  private final Answers answers;
  private long watchSentAt;
  private Optional<Runnable> pendingRetry = Optional.empty();
  private long retryTimer;
  private int failures;
  private int refusedHistories;
  private boolean available;
  private WatchRole role = WatchRole.FOLLOWER;
  private boolean callPending;
  private long callNumber;

  StoreWatch(
      KindMirror.Environment environment,
      KindMirror.Kind kind,
      KindMirror.StoreListener listener,
      Answers answers) {
    this.vertx = environment.vertx();
    this.clock = environment.clock();
    this.log = environment.log();
    this.environment = environment;
    this.kind = kind;
    this.listener = listener;
    this.answers = answers;
  }

  /** Lists the objects; the listing may be some seconds old, which later changes make up for. */
  void start() {
    list(Consistency.RELAXED);
  }

  boolean isWatching() {
    return role.watches();
  }

  private boolean isLoaded() {
    return answers.completeTo().revision() >= 0;
  }

  /** Sets whether the store is watched, and why. */
  void setRole(WatchRole newRole) {
    if (role == newRole) {
      return;
    }
    boolean changed = role.watches() != newRole.watches();
    role = newRole;
    if (role == WatchRole.WATCHER) {
      retryNow();
    }
    if (!changed) {
      return;
    }
    log.log(
        EventKind.DEPENDENCY,
        role.watches() ? "watching the store" : "following peers",
        "objects",
        kind.name(),
        "role",
        role,
        "era",
        answers.completeTo().era(),
        "revision",
        answers.completeTo().revision());
    if (isLoaded()) {
      continueWatching();
    }
  }

  /** Lists the objects now, instead of waiting for a watch of a former era to end. */
  void onNewEra() {
    if (role.watches() && isLoaded() && isOfFormerEra(answers.completeTo())) {
      pendingRetry.ifPresent(call -> vertx.cancelTimer(retryTimer));
      pendingRetry = Optional.empty();
      list(Consistency.LINEARIZABLE);
    }
  }

  private boolean isOfFormerEra(StorePosition position) {
    return position.era() < environment.era().number();
  }

  /** Learns the era of an answer; returns whether it is a former one. */
  private boolean isLateAnswer(StorePosition position) {
    if (environment.era().onAnswer(position.era(), clock.now())) {
      listener.onNewEra();
    }
    return isOfFormerEra(position);
  }

  private StoreException lateAnswer(StorePosition position) {
    return new StoreException(
        Reason.UNKNOWN,
        "expected an answer of era "
            + environment.era().number()
            + " but it was of era "
            + position.era());
  }

  private void continueWatching() {
    if (role.watches() && !callPending) {
      watch();
    }
  }

  private void list(Consistency consistency) {
    callPending = true;
    long call = ++callNumber;
    StorePosition before = answers.completeTo();
    environment
        .store()
        .list(kind.name(), consistency)
        .onComplete(
            result -> {
              if (call != callNumber) {
                return;
              }
              if (result.failed()) {
                retry(result.cause(), () -> list(consistency));
              } else if (isLateAnswer(result.result().position())) {
                retry(lateAnswer(result.result().position()), () -> list(Consistency.LINEARIZABLE));
              } else {
                takeOver(() -> onListing(result.result(), consistency, before));
              }
            });
  }

  /**
   * Takes over an answer. If that fails, the objects are listed again after a pause: a watch from
   * the same position would bring the same answer.
   */
  private void takeOver(Runnable step) {
    try {
      step.run();
    } catch (RuntimeException | StackOverflowError e) {
      StackTraceElement[] trace = e.getStackTrace();
      log.log(
          EventKind.ERROR,
          "answer of the store not taken over",
          "objects",
          kind.name(),
          "error",
          e,
          "at",
          trace.length > 0 ? trace[0] : "unknown");
      callPending = true;
      callNumber++;
      failures++;
      callLater(failures, () -> list(Consistency.LINEARIZABLE));
    }
  }

  /** Logs what an answer lacks, in one line however many objects there are. */
  private void logUnreadable(List<String> unreadable) {
    if (!unreadable.isEmpty()) {
      log.log(
          EventKind.STORE_ENTRY,
          "objects left out",
          "objects",
          kind.name(),
          "number",
          unreadable.size(),
          "first",
          unreadable.get(0));
    }
  }

  /**
   * Takes over a listing. The revision that comes with a relaxed one may be newer than its objects,
   * so that the mirror counts as complete only up to the newest of them.
   *
   * @param before the position of the mirror when the listing was requested
   */
  private void onListing(
      ObjectStore.Listing listing, Consistency consistency, StorePosition before) {
    callPending = false;
    onStoreAnswered();
    logUnreadable(listing.unreadable());
    boolean current = consistency == Consistency.LINEARIZABLE;
    long newest = listing.objects().stream().mapToLong(StoredObject::revision).max().orElse(0);
    StorePosition completeTo =
        current ? listing.position() : new StorePosition(listing.position().era(), newest);
    log.log(
        EventKind.DEPENDENCY,
        "objects listed",
        "objects",
        kind.name(),
        "era",
        completeTo.era(),
        "revision",
        completeTo.revision(),
        "era_before",
        before.era(),
        "revision_before",
        before.revision());
    answers.onObjects(
        listing.objects(), completeTo, current, current && before.isAfter(completeTo));
    continueWatching();
  }

  private void watch() {
    callPending = true;
    long call = ++callNumber;
    watchSentAt = clock.now();
    StorePosition from = answers.completeTo();
    environment
        .store()
        .watch(
            kind.name(),
            from.revision(),
            kind.timing().watchWaitInMilliseconds(),
            kind.timing().watchTimeoutInMilliseconds())
        .onComplete(
            result -> {
              if (call != callNumber) {
                return;
              }
              if (result.failed()) {
                onWatchFailed(result.cause(), from);
              } else if (isLateAnswer(result.result().position())) {
                retry(lateAnswer(result.result().position()), () -> list(Consistency.LINEARIZABLE));
              } else if (from.era() != result.result().position().era()) {
                // The restored store took the revision of the former era for one of its own.
                list(Consistency.LINEARIZABLE);
              } else {
                takeOver(() -> onChanges(result.result(), call));
              }
            });
  }

  private void onChanges(ObjectStore.Changes changes, long call) {
    callPending = false;
    refusedHistories = 0;
    boolean waited = available && clock.now() - watchSentAt > IMMEDIATE_ANSWER_IN_MILLISECONDS;
    onStoreAnswered();
    logUnreadable(changes.unreadable());
    callPending = !changes.changes().isEmpty() || !changes.unreadable().isEmpty();
    answers.onChanges(changes, waited);
    if (!callPending) {
      continueWatching();
      return;
    }
    vertx.setTimer(
        BATCH_DELAY_IN_MILLISECONDS,
        fired -> {
          if (call == callNumber) {
            callPending = false;
            continueWatching();
          }
        });
  }

  /**
   * Lists the objects if the store no longer keeps the changes, or they are too long together;
   * after a pause if the position of the last listing was refused as well.
   */
  private void onWatchFailed(Throwable error, StorePosition from) {
    boolean mustList =
        error instanceof StoreException failure
            && (failure.reason() == Reason.HISTORY_GONE || failure.reason() == Reason.TOO_LONG);
    if (!mustList) {
      retry(error, this::watch);
      return;
    }
    if (from.era() < answers.completeTo().era()) {
      // A peer has passed on the objects of the new era meanwhile.
      watch();
      return;
    }
    refusedHistories++;
    log.log(
        EventKind.DEPENDENCY,
        "changes not available from the store",
        "objects",
        kind.name(),
        "reason",
        error.getMessage(),
        "era",
        answers.completeTo().era(),
        "revision",
        answers.completeTo().revision(),
        "times",
        refusedHistories);
    if (refusedHistories == 1) {
      list(Consistency.LINEARIZABLE);
    } else {
      callLater(refusedHistories - 1, () -> list(Consistency.LINEARIZABLE));
    }
  }

  /** Repeats a failed call after a delay, unless a peer has made it unnecessary. */
  private void retry(Throwable error, Runnable call) {
    if (available) {
      log.log(
          EventKind.DEPENDENCY,
          "store not available",
          "objects",
          kind.name(),
          "reason",
          error.getMessage());
    }
    available = false;
    listener.onStoreAvailability(false);
    failures++;
    callLater(failures, call);
  }

  private void callLater(int attempts, Runnable call) {
    pendingRetry = Optional.of(call);
    retryTimer =
        vertx.setTimer(
            role.retryDelayInMilliseconds(attempts, kind.timing()), fired -> runPendingRetry());
  }

  private void runPendingRetry() {
    Runnable call = pendingRetry.orElseThrow();
    pendingRetry = Optional.empty();
    if (role.watches() || !isLoaded()) {
      call.run();
    } else {
      callPending = false;
    }
  }

  /** A VM that becomes a watcher does not wait for the end of a fallback's delay. */
  private void retryNow() {
    if (pendingRetry.isPresent() && vertx.cancelTimer(retryTimer)) {
      failures = 0;
      runPendingRetry();
    }
  }

  private void onStoreAnswered() {
    failures = 0;
    if (!available) {
      available = true;
      if (isLoaded()) {
        answers.onStoreReturned();
      }
      log.log(
          EventKind.DEPENDENCY,
          "store available",
          "objects",
          kind.name(),
          "era",
          answers.completeTo().era(),
          "revision",
          answers.completeTo().revision());
    }
    listener.onStoreAvailability(true);
  }
}
