package org.toucanmast.runtime.allowance;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.BiPredicate;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.toucanmast.core.allowance.AllowanceHolder;
import org.toucanmast.core.allowance.LendingView;
import org.toucanmast.core.allowance.TokenRequestBatcher;
import org.toucanmast.core.allowance.TokenRequestBatcher.Granted;
import org.toucanmast.core.allowance.TokenRequestBatcher.TokenRequest;
import org.toucanmast.core.configuration.Allowance;
import org.toucanmast.core.configuration.FleetConfiguration;
import org.toucanmast.core.membership.Epoch;
import org.toucanmast.core.request.Refusal;
import org.toucanmast.core.request.RefusedException;
import org.toucanmast.schema.PeerMessage;
import org.toucanmast.schema.TokenAsk;
import org.toucanmast.schema.TokenCount;
import org.toucanmast.schema.TokenGrant;
import org.toucanmast.schema.TokenReturn;

/**
 * Admits requests against the allowances that all VMs share: from the bucket that this VM holds, or
 * by asking the holder.
 *
 * <p>A request waits a moment for a token rather than being refused at once, and longer while its
 * holder is changing.
 */
public final class AllowanceDuty {
  /** How long a token may be used after it was asked for, in nanoseconds. */
  public static final long GRANT_LIFE = 50_000_000;

  private static final double NANOSECONDS_PER_SECOND = 1e9;
  private static final long FLUSH_PAUSE_IN_MILLISECONDS = 5;
  private static final long WAIT_WHEN_EMPTY_IN_NANOSECONDS = 30_000_000;
  private static final long WAIT_WHEN_UNANSWERED_IN_NANOSECONDS = 3_000_000_000L;
  private static final long WAIT_AFTER_CHANGE_IN_NANOSECONDS = 3_000_000_000L;
  private static final long CHANGE_LASTS_IN_NANOSECONDS = 10_000_000_000L;

  private final Vertx vertx;
  private final String self;
  private final AllowanceHolder holder;
  private final TokenRequestBatcher<Promise<Void>> batcher = new TokenRequestBatcher<>(GRANT_LIFE);
  private final BiPredicate<String, PeerMessage> sender;
  private final Supplier<LendingView> view;
  private final LongSupplier clock;
  private Map<String, Allowance> allowances = Map.of();
  private LendingView known = LendingView.NONE;
  private boolean changed;
  private long changedAt;
  private boolean flushScheduled;
  private long asks;

  /**
   * Creates the duty.
   *
   * @param holder the buckets that this VM holds
   * @param view whom this VM asks
   * @param sender sends a message to a peer
   */
  public AllowanceDuty(
      Vertx vertx,
      String self,
      AllowanceHolder holder,
      Supplier<LendingView> view,
      BiPredicate<String, PeerMessage> sender,
      LongSupplier clock) {
    this.vertx = vertx;
    this.self = self;
    this.holder = holder;
    this.view = view;
    this.sender = sender;
    this.clock = clock;
  }

  /** Takes in a revision of the configuration. */
  public void update(FleetConfiguration configuration) {
    allowances = configuration.allowances();
    holder.retain(allowances::containsKey, clock.getAsLong());
  }

  /** Returns how many asks were sent. */
  public long asks() {
    return asks;
  }

  /**
   * Takes one token.
   *
   * @param customer the name under which the allowance is counted
   * @param deadline when the request ends, in nanoseconds
   * @return completes when the request may go on; fails with {@link RefusedException}
   */
  public Future<Void> admit(String customer, long deadline) {
    Allowance allowance = allowances.get(customer);
    if (allowance == null) {
      return Future.failedFuture(new RefusedException(Refusal.FORBIDDEN));
    }
    long now = clock.getAsLong();
    boolean firstInLine = batcher.missing(customer) == 0;
    if (holds(customer) && firstInLine && holder.take(customer, allowance, 1, now) == 1) {
      return Future.succeededFuture();
    }
    if (batcher.waiting(customer) >= mostWaiting(allowance, now)) {
      return Future.failedFuture(new RefusedException(Refusal.OVER_ALLOWANCE));
    }
    Promise<Void> promise = Promise.promise();
    long latest = now + WAIT_WHEN_UNANSWERED_IN_NANOSECONDS;
    batcher.add(customer, promise, now, latest - deadline < 0 ? latest : deadline);
    scheduleFlush();
    return promise.future();
  }

  /** Answers a peer's ask; says nothing of customers whose shares are not lent here. */
  public void onAsk(String peer, TokenAsk ask) {
    long now = clock.getAsLong();
    TokenGrant.Builder grant = TokenGrant.newBuilder().setAskId(ask.getAskId());
    for (TokenCount wanted : ask.getAsksList()) {
      Allowance allowance = allowances.get(wanted.getCustomer());
      if (allowance != null && holder.fractionOf(wanted.getCustomer(), now) > 0) {
        int count = holder.take(wanted.getCustomer(), allowance, wanted.getCount(), now);
        grant.addGrants(TokenCount.newBuilder().setCustomer(wanted.getCustomer()).setCount(count));
      }
    }
    if (grant.getGrantsCount() > 0) {
      sender.test(peer, PeerMessage.newBuilder().setTokenGrant(grant).build());
    }
  }

  /** Takes tokens back that a peer could not use. */
  public void onReturn(TokenReturn returned) {
    long now = clock.getAsLong();
    returned
        .getReturnedList()
        .forEach(each -> holder.putBack(each.getCustomer(), each.getCount(), now));
  }

  /** Takes in a holder's answer. */
  public void onGrant(String peer, TokenGrant grant) {
    long now = clock.getAsLong();
    Map<String, Integer> counts = TokenCounts.byCustomer(grant.getGrantsList());
    Granted<Promise<Void>> granted = batcher.onGrant(grant.getAskId(), counts, now);
    granted.admitted().forEach(Promise::complete);
    giveBack(peer, granted.unused());
    for (String customer : counts.keySet()) {
      refuseLongWaiting(customer, now);
    }
    if (counts.keySet().stream().anyMatch(customer -> batcher.missing(customer) > 0)) {
      scheduleFlushLater();
    }
  }

  private void giveBack(String peer, Map<String, Integer> unused) {
    if (!unused.isEmpty()) {
      TokenReturn message = TokenReturn.newBuilder().addAllReturned(TokenCounts.of(unused)).build();
      sender.test(peer, PeerMessage.newBuilder().setTokenReturn(message).build());
    }
  }

  /** Asks again, gives out tokens that have come, and refuses what waited too long. */
  public void tick(long now) {
    noteChange(now);
    holder.tick(now);
    batcher.expireAsks(now);
    batcher.expireRequests(now).forEach(AllowanceDuty::refuse);
    flush();
  }

  private static void refuse(Promise<Void> request) {
    request.fail(new RefusedException(Refusal.OVER_ALLOWANCE));
  }

  /** Returns how long a request waits for an empty bucket; a moved one starts empty. */
  private long patience(long now) {
    return changed && now - changedAt < CHANGE_LASTS_IN_NANOSECONDS
        ? WAIT_AFTER_CHANGE_IN_NANOSECONDS
        : WAIT_WHEN_EMPTY_IN_NANOSECONDS;
  }

  /** Returns how many requests may wait: more could not be served before they are refused. */
  private double mostWaiting(Allowance allowance, long now) {
    return allowance.burst() + allowance.rate() * patience(now) / NANOSECONDS_PER_SECOND;
  }

  private void noteChange(long now) {
    LendingView current = view.get();
    if (!current.equals(known)) {
      known = current;
      changed = true;
      changedAt = now;
    }
  }

  private void refuseLongWaiting(String customer, long now) {
    batcher.removeSince(customer, now - patience(now)).forEach(AllowanceDuty::refuse);
  }

  private Optional<String> holderOf(String customer) {
    return view.get().holderOf(customer);
  }

  private boolean holds(String customer) {
    return holderOf(customer).filter(self::equals).isPresent();
  }

  private void scheduleFlush() {
    if (!flushScheduled) {
      flushScheduled = true;
      vertx.runOnContext(
          nothing -> {
            flushScheduled = false;
            flush();
          });
    }
  }

  private void scheduleFlushLater() {
    if (!flushScheduled) {
      flushScheduled = true;
      vertx.setTimer(
          FLUSH_PAUSE_IN_MILLISECONDS,
          timer -> {
            flushScheduled = false;
            flush();
          });
    }
  }

  private void flush() {
    long now = clock.getAsLong();
    Map<String, List<String>> byHolder = new HashMap<>();
    for (String customer : batcher.customers()) {
      Optional<String> target = holderOf(customer);
      if (target.filter(self::equals).isPresent()) {
        serveHere(customer, now);
      } else if (target.isPresent() && batcher.missing(customer) > 0) {
        byHolder.computeIfAbsent(target.get(), name -> new ArrayList<>()).add(customer);
      }
    }
    byHolder.forEach((peer, customers) -> ask(peer, customers, now));
  }

  private void serveHere(String customer, long now) {
    Allowance allowance = allowances.get(customer);
    if (allowance == null) {
      batcher.removeSince(customer, now).forEach(AllowanceDuty::refuse);
      return;
    }
    while (batcher.missing(customer) > 0 && holder.take(customer, allowance, 1, now) == 1) {
      batcher.next(customer).complete();
    }
    if (holder.fractionOf(customer, now) > 0) {
      refuseLongWaiting(customer, now);
    }
    if (batcher.missing(customer) > 0) {
      scheduleFlushLater();
    }
  }

  private void ask(String peer, List<String> customers, long now) {
    TokenRequest ask = batcher.ask(customers, now);
    TokenAsk message =
        TokenAsk.newBuilder().setAskId(ask.id()).addAllAsks(TokenCounts.of(ask.counts())).build();
    asks++;
    sender.test(peer, PeerMessage.newBuilder().setTokenAsk(message).build());
  }

  /** Returns the view a VM asks by: its own lending view, or that of an epoch it has not joined. */
  public static LendingView askingView(LendingView active, Epoch newest, TreeSet<String> skipped) {
    return active.epoch().members().isEmpty() ? new LendingView(newest, skipped) : active;
  }
}
