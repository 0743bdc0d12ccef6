package org.toucanmast.runtime.usage;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Future;
import java.util.Optional;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import org.toucanmast.core.mirror.StoreEra;
import org.toucanmast.core.usage.FleetTotals;
import org.toucanmast.core.usage.UsageDuty;
import org.toucanmast.core.usage.UsageLock;
import org.toucanmast.core.usage.UsageTiming;
import org.toucanmast.runtime.clock.VmClock;
import org.toucanmast.runtime.events.EventKind;
import org.toucanmast.runtime.events.EventLog;
import org.toucanmast.runtime.port.InvalidEntryException;
import org.toucanmast.runtime.port.ObjectStore;
import org.toucanmast.runtime.port.StoreException;
import org.toucanmast.runtime.port.StoredObject;
import org.toucanmast.runtime.port.UsageReports;

/**
 * Acquires the lock of the usage reports, records windows in it and reports them, as {@link
 * UsageDuty} decides. At most one call to the store and one to the platform are in progress.
 */
final class UsageReporter {
  /** Kind of the store's object that names the holder of the duty. */
  private static final String KIND = "toucanmast-usage";

  private static final String NAME = "reports";

  /**
   * How far windows of a lock may be ahead of this VM's time. A holder closes two windows ahead at
   * most; a lock that closes more would end the reports for as long as it says.
   */
  private static final long MAXIMUM_WINDOWS_AHEAD = 1_000;

  private final ObjectStore store;
  private final UsageReports reports;
  private final StoreEra era;
  private final VmClock clock;
  private final EventLog log;
  private final MetricRegistry metrics;
  private final String vm;
  private final FleetTotals totals;
  private final LongSupplier time;
  private final UsageTiming timing;
  private final UsageDuty duty;
  private LongConsumer eraListener = answered -> {};
  private boolean storeCallInProgress;
  private boolean reportInProgress;
  private long lastReportedWindow = -1;

  /**
   * Creates a reporter that holds no lock.
   *
   * @param process the run of this VM's process, different from all others
   * @param time the time for windows, in milliseconds since 1970
   */
  UsageReporter(
      UsageService.Environment environment,
      UsageTiming timing,
      String vm,
      String process,
      FleetTotals totals,
      LongSupplier time) {
    this.store = environment.store();
    this.reports = environment.reports();
    this.era = environment.era();
    this.clock = environment.clock();
    this.log = environment.log();
    this.metrics = environment.metrics();
    this.vm = vm;
    this.totals = totals;
    this.time = time;
    this.timing = timing;
    this.duty = new UsageDuty(timing, vm, process);
    Gauge<Integer> holder = () -> duty.isHolder() ? 1 : 0;
    metrics.registerGauge("usage.holder", holder);
    Gauge<Integer> unreported = duty::unreported;
    metrics.registerGauge("usage.unreported", unreported);
    Gauge<Long> lastReported = () -> lastReportedWindow;
    metrics.registerGauge("usage.last_reported_window", lastReported);
  }

  void setEraListener(LongConsumer listener) {
    eraListener = listener;
  }

  boolean isHolder() {
    return duty.isHolder();
  }

  /** Acquires, records and reports what is due; must be called at short intervals. */
  void tick() {
    long now = clock.now();
    if (!storeCallInProgress) {
      if (!duty.isHolder()) {
        if (duty.mayAcquire(now)) {
          acquire();
        }
      } else {
        duty.nextWrite(totals, time.getAsLong(), now).ifPresent(this::write);
      }
    }
    if (!reportInProgress) {
      duty.nextReport(time.getAsLong(), now).ifPresent(this::report);
    }
  }

  /** Discards the lock: the restored store may lack its acquisition and its records. */
  void onNewEra() {
    if (duty.isHolder()) {
      log.log(EventKind.USAGE, "duty discarded in a new era of the store", "era", era.number());
      duty.discard();
    }
  }

  private void acquire() {
    storeCallInProgress = true;
    store
        .get(KIND, NAME)
        .map(Optional::of)
        .recover(
            error ->
                isMissing(error)
                    ? Future.succeededFuture(Optional.empty())
                    : Future.failedFuture(error))
        .compose(this::takeOver)
        .onComplete(
            result -> {
              storeCallInProgress = false;
              if (result.failed()) {
                metrics.counter("usage.acquisitions_failed").inc();
                log.log(
                    EventKind.USAGE, "duty not acquired", "reason", result.cause().getMessage());
              }
            });
  }

  private Future<StoredObject> takeOver(Optional<StoredObject> found) {
    found.ifPresent(object -> eraListener.accept(object.position().era()));
    long readEra = found.map(object -> object.position().era()).orElse(era.number());
    if (readEra < era.number()) {
      return Future.failedFuture(
          new StoreException(StoreException.Reason.UNKNOWN, "the answer is of an earlier era"));
    }
    Optional<UsageLock> former = found.flatMap(this::formerLock);
    UsageLock lock = duty.acquisition(former, readEra, time.getAsLong(), clock.now());
    Future<StoredObject> write =
        found.isPresent()
            ? store.replace(KIND, NAME, UsageLockFormat.toJson(lock), found.get().position())
            : store.create(KIND, NAME, UsageLockFormat.toJson(lock));
    return write.onSuccess(stored -> onAcquired(former, lock, stored));
  }

  /** Returns the lock in an object; empty if it is not one, as if its records had been lost. */
  private Optional<UsageLock> formerLock(StoredObject object) {
    long maximumWindow = timing.windowAt(time.getAsLong()) + MAXIMUM_WINDOWS_AHEAD;
    try {
      return Optional.of(UsageLockFormat.fromJson(object.content(), maximumWindow));
    } catch (InvalidEntryException e) {
      log.log(
          EventKind.STORE_ENTRY,
          "lock of the usage reports not readable",
          "objects",
          KIND,
          "object",
          NAME,
          "revision",
          object.revision(),
          "reason",
          object.problemOr(e));
      return Optional.empty();
    }
  }

  private void onAcquired(Optional<UsageLock> former, UsageLock lock, StoredObject stored) {
    eraListener.accept(stored.position().era());
    boolean isHeld =
        stored.position().era() >= era.number()
            && duty.onAcquired(former, lock, stored.position(), time.getAsLong(), clock.now());
    log.log(
        EventKind.USAGE,
        isHeld ? "duty acquired" : "duty acquired in another era and discarded",
        "token",
        stored.position().toNumber(),
        "former",
        former.map(UsageLock::vm).orElse("none"),
        "released",
        former.map(UsageLock::released).orElse(false),
        "first_window",
        lock.firstWindow(),
        "records",
        lock.records().size());
  }

  private static boolean isMissing(Throwable error) {
    return error instanceof StoreException failure
        && failure.reason() == StoreException.Reason.MISSING;
  }

  private void write(UsageDuty.Write write) {
    long sentAt = clock.now();
    storeCallInProgress = true;
    store
        .replace(KIND, NAME, UsageLockFormat.toJson(write.content()), write.position())
        .onSuccess(
            stored -> {
              eraListener.accept(stored.position().era());
              duty.onWritten(write, stored.position(), sentAt);
              logWritten(write);
            })
        .onFailure(
            error -> {
              duty.discard();
              metrics.counter("usage.writes_failed").inc();
              log.log(
                  EventKind.USAGE,
                  "windows not recorded; duty discarded",
                  "windows",
                  write.added().stream().map(each -> each.window()).toList(),
                  "reason",
                  error.getMessage());
            })
        .onComplete(result -> storeCallInProgress = false);
  }

  private void logWritten(UsageDuty.Write write) {
    for (var record : write.added()) {
      metrics.counter("usage.recorded").inc();
      log.log(
          EventKind.USAGE,
          "window recorded",
          "window",
          record.window(),
          "customers",
          record.counts().size(),
          "requests",
          record.counts().values().stream().mapToLong(Integer::longValue).sum(),
          "complete",
          totals.isComplete(record.window()),
          "missing",
          totals.incompleteVms(record.window()));
    }
    for (long window : write.skipped()) {
      metrics.counter("usage.skipped").inc();
      log.log(
          EventKind.USAGE,
          "window skipped",
          "window",
          window,
          "reason",
          "its report is overdue, or this holder began after it and knows no totals of it");
    }
  }

  private void report(UsageDuty.Report report) {
    reportInProgress = true;
    long window = report.record().window();
    reports
        .report(window, report.record().counts(), vm, report.token())
        .recover(error -> Future.succeededFuture(UsageReports.Outcome.UNKNOWN))
        .onSuccess(
            outcome -> {
              reportInProgress = false;
              onAnswer(report, outcome);
              log.log(
                  EventKind.USAGE,
                  "window reported",
                  "window",
                  window,
                  "token",
                  report.token(),
                  "outcome",
                  outcome);
            });
  }

  private void onAnswer(UsageDuty.Report report, UsageReports.Outcome outcome) {
    boolean isPresentToken = duty.token().filter(token -> token == report.token()).isPresent();
    switch (outcome) {
      case ACCEPTED -> {
        metrics.counter("usage.reported").inc();
        lastReportedWindow = Math.max(lastReportedWindow, report.record().window());
        duty.onAccepted(report.record().window());
      }
      case REFUSED -> {
        metrics.counter("usage.refused").inc();
        if (isPresentToken) {
          duty.onRefused();
        }
      }
      case UNAVAILABLE, UNKNOWN -> {
        metrics.counter("usage.unanswered").inc();
        duty.onUnanswered(clock.now());
      }
      default -> throw new IllegalStateException("unknown outcome " + outcome);
    }
  }

  /** Gives the lock back, so that the next holder need not wait. */
  void release() {
    if (!duty.isHolder()) {
      return;
    }
    if (storeCallInProgress || reportInProgress) {
      log.log(EventKind.USAGE, "duty discarded", "reason", "a call is in progress");
      duty.discard();
      return;
    }
    Optional<UsageDuty.Write> write = duty.release(clock.now());
    log.log(EventKind.USAGE, "duty given up", "released", write.isPresent());
    write.ifPresent(
        each -> store.replace(KIND, NAME, UsageLockFormat.toJson(each.content()), each.position()));
  }
}
