package org.toucanmast.core.usage;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.toucanmast.core.mirror.StorePosition;

/**
 * Decides when this process may acquire the duty of usage reports, and what it records and reports.
 *
 * <p>Load pattern: holders are killed, frozen or cut off between record and report, two VMs take
 * themselves for the holder, calls are executed late or twice, and the store is restored. Two
 * different reports of one window must never be accepted; when in doubt, nothing is reported.
 */
public final class UsageDuty {
  /** Time after a window's end at which it is recorded if all known totals are complete. */
  static final long RECORD_AFTER_IN_MILLISECONDS = 1_500;

  /** Time after a window's end at which it is recorded in any case. */
  static final long RECORD_AT_LATEST_IN_MILLISECONDS = 4_000;

  /** Time in which VMs send the totals of ended windows to a new holder. */
  static final long COLLECTING_TIME_IN_MILLISECONDS = 2_000;

  /** A report is not sent when its connection could be opened only after the lease. */
  static final long SENDING_MARGIN_IN_MILLISECONDS = 600;

  /** How far the clock of a former holder may have been ahead when windows are closed by time. */
  static final long CLOCK_MARGIN_IN_MILLISECONDS = 5_000;

  /** Minimum time between attempts to acquire the lock. */
  static final long ACQUISITION_INTERVAL_IN_MILLISECONDS = 1_000;

  /** Minimum time between two reports; the platform refuses too many calls in a second. */
  static final long REPORT_INTERVAL_IN_MILLISECONDS = 250;

  /** Time after which a report that was not answered or not accepted is sent again. */
  static final long RETRY_INTERVAL_IN_MILLISECONDS = 1_000;

  private final UsageTiming timing;
  private final String vm;
  private final String process;
  private final TreeMap<Long, UsageRecord> unreported = new TreeMap<>();
  private Optional<Held> held = Optional.empty();
  private boolean mustWait = true;
  private long heldSince;
  private long usableFrom;
  private long closedBefore;
  private long lastSentWindow = Long.MIN_VALUE;
  private long nextAcquisitionAt = Long.MIN_VALUE;
  private long nextReportAt = Long.MIN_VALUE;

  /**
   * The lock as this process holds it.
   *
   * @param content what this process wrote last
   * @param token the position of the acquisition as a number
   * @param position the position of the last write
   * @param usableUntil when the last write no longer excludes reports of another holder
   * @param acquiredAt the time of the acquisition, in milliseconds since 1970
   * @param hasRecorded whether the lock was written after its acquisition
   */
  private record Held(
      UsageLock content,
      long token,
      StorePosition position,
      long usableUntil,
      long acquiredAt,
      boolean hasRecorded) {}

  /**
   * A write that this process makes to the lock.
   *
   * @param content the new content
   * @param position the position of the change that it replaces
   * @param added the windows that it records
   * @param skipped the windows that are closed without a record
   */
  public record Write(
      UsageLock content, StorePosition position, List<UsageRecord> added, List<Long> skipped) {}

  /**
   * A report to send.
   *
   * @param token the fencing token
   * @param record the recorded counts
   */
  public record Report(long token, UsageRecord record) {}

  /**
   * Creates the duty of a process that holds no lock.
   *
   * @param process the run of this VM's process, different from all others
   */
  public UsageDuty(UsageTiming timing, String vm, String process) {
    this.timing = timing;
    this.vm = vm;
    this.process = process;
  }

  /** Returns whether this process holds the lock as far as it knows. */
  public boolean isHolder() {
    return held.isPresent();
  }

  /** Returns the fencing token; empty if this process does not hold the lock. */
  public Optional<Long> token() {
    return held.map(Held::token);
  }

  /**
   * Returns whether the lock should be acquired now.
   *
   * @param now the steady clock, in milliseconds
   */
  public boolean mayAcquire(long now) {
    return held.isEmpty() && now >= nextAcquisitionAt;
  }

  /**
   * Returns what to write in order to acquire the lock.
   *
   * @param former the present content; empty if the object does not exist or is not readable
   * @param era the era in which it was read
   * @param time the time, in milliseconds since 1970
   * @param now the steady clock, in milliseconds
   */
  public UsageLock acquisition(Optional<UsageLock> former, long era, long time, long now) {
    nextAcquisitionAt = now + ACQUISITION_INTERVAL_IN_MILLISECONDS;
    boolean isOfEra = former.isPresent() && former.get().era() == era;
    if (!isOfEra || !former.get().process().equals(process)) {
      mustWait = true;
    }
    if (isOfEra) {
      return new UsageLock(
          vm, process, era, former.get().firstWindow(), false, former.get().records());
    }
    // The store was restored and may lack the record of any window that has ended. What it does
    // have may stem from a write that was meant for the earlier era and recorded other counts.
    long firstOpen = timing.windowAt(time + CLOCK_MARGIN_IN_MILLISECONDS) + 1;
    long closed = Math.max(closedBefore, former.map(UsageLock::firstWindow).orElse(0L));
    return new UsageLock(vm, process, era, Math.max(firstOpen, closed), false, List.of());
  }

  /**
   * Records that the lock was acquired.
   *
   * @param former the content before
   * @param content what was written
   * @param position the position of the write
   * @param time the time, in milliseconds since 1970
   * @param now the steady clock, in milliseconds
   * @return whether the lock is held; not so if the store was restored meanwhile
   */
  public boolean onAcquired(
      Optional<UsageLock> former, UsageLock content, StorePosition position, long time, long now) {
    if (position.era() != content.era()) {
      return false;
    }
    if (mustWait) {
      boolean released = former.isPresent() && former.get().released();
      boolean isOfEra = former.isPresent() && former.get().era() == content.era();
      heldSince = now;
      usableFrom = released && isOfEra ? now : now + timing.leaseInMilliseconds();
      mustWait = false;
    }
    held = Optional.of(new Held(content, position.toNumber(), position, now, time, false));
    closedBefore = Math.max(closedBefore, content.firstWindow());
    unreported.clear();
    content.records().forEach(each -> unreported.put(each.window(), each));
    return true;
  }

  /**
   * Returns the write that is due, if any: it records the windows that have ended. Nothing is
   * written before the first report is allowed.
   *
   * @param time the time, in milliseconds since 1970
   * @param now the steady clock, in milliseconds
   */
  public Optional<Write> nextWrite(FleetTotals totals, long time, long now) {
    if (held.isEmpty() || now < usableFrom) {
      return Optional.empty();
    }
    Held lock = held.get();
    if (time < lock.acquiredAt() + COLLECTING_TIME_IN_MILLISECONDS) {
      return Optional.empty();
    }
    dropOverdue(time);
    List<UsageRecord> added = new ArrayList<>();
    List<Long> skipped = new ArrayList<>();
    // Older windows are overdue; a clock that was far off must not lead to a long loop.
    long first =
        Math.max(
            lock.content().firstWindow(), timing.windowAt(time - timing.dueInMilliseconds()) - 1);
    long next = first;
    while (isRecordable(next, totals, time)) {
      UsageRecord record = new UsageRecord(next, totals.counts(next));
      boolean collected = timing.endOf(next - 1) >= lock.acquiredAt();
      boolean knownEnough = collected || !record.counts().isEmpty();
      if (time <= timing.dueAt(next) && knownEnough) {
        added.add(record);
      } else {
        skipped.add(next);
      }
      next++;
    }
    boolean renews = !lock.hasRecorded() && !unreported.isEmpty();
    if (next == first && !renews) {
      return Optional.empty();
    }
    UsageLock content = next == first ? lock.content() : lock.content().withRecords(added, next);
    return Optional.of(new Write(content, lock.position(), added, skipped));
  }

  private boolean isRecordable(long window, FleetTotals totals, long time) {
    long end = timing.endOf(window);
    return time >= end + RECORD_AT_LATEST_IN_MILLISECONDS
        || time >= end + RECORD_AFTER_IN_MILLISECONDS && totals.isComplete(window);
  }

  /**
   * Records that a write was acknowledged; its records may be reported now.
   *
   * @param position the position of the write
   * @param sentAt when the write was sent, on the steady clock in milliseconds
   */
  public void onWritten(Write write, StorePosition position, long sentAt) {
    boolean isPresent =
        held.isPresent()
            && held.get().position().equals(write.position())
            && held.get().content().era() == position.era();
    if (!isPresent) {
      discard();
      return;
    }
    long usableUntil = sentAt + timing.leaseInMilliseconds() - SENDING_MARGIN_IN_MILLISECONDS;
    held =
        Optional.of(
            new Held(
                write.content(),
                held.get().token(),
                position,
                usableUntil,
                held.get().acquiredAt(),
                true));
    closedBefore = Math.max(closedBefore, write.content().firstWindow());
    write.added().forEach(each -> unreported.put(each.window(), each));
  }

  /**
   * Discards the lock: a write failed or its outcome is unknown, or a new era of the store began.
   */
  public void discard() {
    held = Optional.empty();
    unreported.clear();
  }

  /** Discards the lock because the platform has seen a higher fencing token. */
  public void onRefused() {
    discard();
    mustWait = true;
  }

  /**
   * Returns the report to send now, if any, and counts it as sent.
   *
   * @param time the time, in milliseconds since 1970
   * @param now the steady clock, in milliseconds
   */
  public Optional<Report> nextReport(long time, long now) {
    dropOverdue(time);
    boolean maySend =
        held.isPresent()
            && now >= usableFrom
            && now < held.get().usableUntil()
            && now >= nextReportAt;
    if (!maySend || unreported.isEmpty()) {
      return Optional.empty();
    }
    nextReportAt = now + REPORT_INTERVAL_IN_MILLISECONDS;
    // In turns, so that a report that the platform does not accept delays no other one.
    Map.Entry<Long, UsageRecord> next = unreported.higherEntry(lastSentWindow);
    UsageRecord record = (next == null ? unreported.firstEntry() : next).getValue();
    lastSentWindow = record.window();
    return Optional.of(new Report(held.get().token(), record));
  }

  private void dropOverdue(long time) {
    unreported.keySet().removeIf(window -> time > timing.dueAt(window));
  }

  /** Records that the platform has accepted the report of a window. */
  public void onAccepted(long window) {
    unreported.remove(window);
  }

  /** Records that a report was not executed, or that no answer has arrived. */
  public void onUnanswered(long now) {
    nextReportAt = now + RETRY_INTERVAL_IN_MILLISECONDS;
  }

  /** Returns the number of recorded windows that are not known to be reported. */
  public int unreported() {
    return unreported.size();
  }

  /**
   * Returns the write that gives the lock back, and discards the lock. Empty if it is not held, or
   * has been held for less than a lease: the former holder may have reported just before.
   *
   * @param now the steady clock, in milliseconds
   */
  public Optional<Write> release(long now) {
    Optional<Write> write =
        held.filter(lock -> now >= heldSince + timing.leaseInMilliseconds())
            .map(
                lock -> new Write(lock.content().release(), lock.position(), List.of(), List.of()));
    discard();
    return write;
  }
}
