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
 * Admits requests against the allowances that all VMs share, with tokens of the bucket that this VM
 * holds or with tokens requested from the allowance holder.
 *
 * <p>A request that finds no token waits briefly before it is refused, and longer after a change of
 * the allowance holders, because the bucket of a new holder starts empty.
 */
public final class SharedAllowances {
  /** How long after its request a token may be used, in nanoseconds. */
  public static final long GRANT_LIFETIME_IN_NANOSECONDS = 50_000_000;

  private static final double NANOSECONDS_PER_SECOND = 1e9;
  private static final long FLUSH_RETRY_DELAY_IN_MILLISECONDS = 5;
  private static final long EMPTY_BUCKET_WAIT_IN_NANOSECONDS = 30_000_000;
  private static final long MAXIMUM_WAIT_IN_NANOSECONDS = 3_000_000_000L;
  private static final long HOLDER_CHANGE_WAIT_IN_NANOSECONDS = 3_000_000_000L;
  private static final long HOLDER_CHANGE_PERIOD_IN_NANOSECONDS = 10_000_000_000L;

  private final Vertx vertx;
  private final String self;
  private final AllowanceHolder holder;
  private final TokenRequestBatcher<Promise<Void>> batcher =
      new TokenRequestBatcher<>(GRANT_LIFETIME_IN_NANOSECONDS);
  private final BiPredicate<String, PeerMessage> sendToPeer;
  private final Supplier<LendingView> view;
  private final LongSupplier clock;
  private Map<String, Allowance> allowances = Map.of();
  private LendingView lastView = LendingView.NONE;
  private boolean viewChanged;
  private long viewChangedAt;
  private boolean flushScheduled;
  private long tokenRequestCount;

  /**
   * Creates the component without any allowance; {@link #update} sets the allowances.
   *
   * @param self the name of this VM
   * @param holder the buckets that this VM holds
   * @param view supplies the view that determines each customer's allowance holder
   * @param sendToPeer sends a message to a peer
   * @param clock the monotonic clock, in nanoseconds
   */
  public SharedAllowances(
      Vertx vertx,
      String self,
      AllowanceHolder holder,
      Supplier<LendingView> view,
      BiPredicate<String, PeerMessage> sendToPeer,
      LongSupplier clock) {
    this.vertx = vertx;
    this.self = self;
    this.holder = holder;
    this.view = view;
    this.sendToPeer = sendToPeer;
    this.clock = clock;
  }

  /** Applies the allowances of a configuration revision. */
  public void update(FleetConfiguration configuration) {
    allowances = configuration.allowances();
    holder.retainCustomers(allowances::containsKey, clock.getAsLong());
  }

  /** Returns the number of token requests that were sent. */
  public long tokenRequestCount() {
    return tokenRequestCount;
  }

  /**
   * Takes one token for a request, waiting for it if necessary.
   *
   * @param customer the name under which the allowance is counted
   * @param deadline the deadline of the request, in nanoseconds
   * @return completes when the request is admitted; fails with {@link RefusedException} if the
   *     customer has no allowance, if too many requests wait or if no token came in time
   */
  public Future<Void> admit(String customer, long deadline) {
    Allowance allowance = allowances.get(customer);
    if (allowance == null) {
      return Future.failedFuture(new RefusedException(Refusal.FORBIDDEN));
    }
    long now = clock.getAsLong();
    boolean noTokensMissing = batcher.tokensToRequest(customer) == 0;
    if (isHolder(customer) && noTokensMissing && holder.take(customer, allowance, 1, now) == 1) {
      return Future.succeededFuture();
    }
    if (batcher.waiting(customer) >= maximumWaiting(allowance, now)) {
      return Future.failedFuture(new RefusedException(Refusal.OVER_ALLOWANCE));
    }
    Promise<Void> promise = Promise.promise();
    long maximumDeadline = now + MAXIMUM_WAIT_IN_NANOSECONDS;
    batcher.add(
        customer, promise, now, maximumDeadline - deadline < 0 ? maximumDeadline : deadline);
    scheduleFlush();
    return promise.future();
  }

  /**
   * Answers a token request of a peer. The grant omits customers for whom no share is lent to this
   * VM; no grant is sent if it would be empty.
   */
  public void onTokenRequest(String peer, TokenAsk request) {
    long now = clock.getAsLong();
    TokenGrant.Builder grant = TokenGrant.newBuilder().setAskId(request.getAskId());
    for (TokenCount requested : request.getAsksList()) {
      Allowance allowance = allowances.get(requested.getCustomer());
      if (allowance != null && holder.fractionOf(requested.getCustomer(), now) > 0) {
        int count = holder.take(requested.getCustomer(), allowance, requested.getCount(), now);
        grant.addGrants(
            TokenCount.newBuilder().setCustomer(requested.getCustomer()).setCount(count));
      }
    }
    if (grant.getGrantsCount() > 0) {
      sendToPeer.test(peer, PeerMessage.newBuilder().setTokenGrant(grant).build());
    }
  }

  /** Puts tokens that a peer returned unused back into their buckets. */
  public void onTokenReturn(TokenReturn returned) {
    long now = clock.getAsLong();
    returned
        .getReturnedList()
        .forEach(each -> holder.putBack(each.getCustomer(), each.getCount(), now));
  }

  /** Admits waiting requests with the tokens of a holder's grant, and returns unused tokens. */
  public void onTokenGrant(String peer, TokenGrant grant) {
    long now = clock.getAsLong();
    Map<String, Integer> counts = TokenCounts.byCustomer(grant.getGrantsList());
    Granted<Promise<Void>> granted = batcher.onGrant(grant.getAskId(), counts, now);
    granted.admitted().forEach(Promise::complete);
    returnUnused(peer, granted.unused());
    for (String customer : counts.keySet()) {
      refuseOverdue(customer, now);
    }
    if (counts.keySet().stream().anyMatch(customer -> batcher.tokensToRequest(customer) > 0)) {
      scheduleFlushLater();
    }
  }

  private void returnUnused(String peer, Map<String, Integer> unused) {
    if (!unused.isEmpty()) {
      TokenReturn message = TokenReturn.newBuilder().addAllReturned(TokenCounts.of(unused)).build();
      sendToPeer.test(peer, PeerMessage.newBuilder().setTokenReturn(message).build());
    }
  }

  /**
   * Expires leases and unanswered token requests, refuses requests past their deadline, serves
   * waiting requests from the local buckets and requests missing tokens from the holders.
   *
   * @param now the current time, in nanoseconds
   */
  public void tick(long now) {
    detectViewChange(now);
    holder.tick(now);
    batcher.expireTokenRequests(now);
    batcher.expireOperations(now).forEach(SharedAllowances::refuse);
    flush();
  }

  /**
   * Refuses all requests that wait for a token.
   *
   * @param now the current time, in nanoseconds
   */
  public void refuseWaiting(Refusal refusal, long now) {
    for (String customer : List.copyOf(batcher.customers())) {
      batcher
          .removeWaitingSince(customer, now)
          .forEach(request -> request.fail(new RefusedException(refusal)));
    }
  }

  private static void refuse(Promise<Void> request) {
    request.fail(new RefusedException(Refusal.OVER_ALLOWANCE));
  }

  /**
   * Returns how long a request waits for an empty bucket; longer after a change of holders, because
   * a moved bucket starts empty.
   */
  private long emptyBucketWaitInNanoseconds(long now) {
    return viewChanged && now - viewChangedAt < HOLDER_CHANGE_PERIOD_IN_NANOSECONDS
        ? HOLDER_CHANGE_WAIT_IN_NANOSECONDS
        : EMPTY_BUCKET_WAIT_IN_NANOSECONDS;
  }

  /** Returns the number of requests that can be served within the wait; any more are refused. */
  private double maximumWaiting(Allowance allowance, long now) {
    return allowance.burst()
        + allowance.rate() * emptyBucketWaitInNanoseconds(now) / NANOSECONDS_PER_SECOND;
  }

  private void detectViewChange(long now) {
    LendingView current = view.get();
    if (!current.equals(lastView)) {
      lastView = current;
      viewChanged = true;
      viewChangedAt = now;
    }
  }

  private void refuseOverdue(String customer, long now) {
    batcher
        .removeWaitingSince(customer, now - emptyBucketWaitInNanoseconds(now))
        .forEach(SharedAllowances::refuse);
  }

  private Optional<String> holderOf(String customer) {
    return view.get().holderOf(customer);
  }

  private boolean isHolder(String customer) {
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
          FLUSH_RETRY_DELAY_IN_MILLISECONDS,
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
      Optional<String> customerHolder = holderOf(customer);
      if (customerHolder.filter(self::equals).isPresent()) {
        serveLocally(customer, now);
      } else if (customerHolder.isPresent() && batcher.tokensToRequest(customer) > 0) {
        byHolder.computeIfAbsent(customerHolder.get(), name -> new ArrayList<>()).add(customer);
      }
    }
    byHolder.forEach((peer, customers) -> sendTokenRequest(peer, customers, now));
  }

  private void serveLocally(String customer, long now) {
    Allowance allowance = allowances.get(customer);
    if (allowance == null) {
      batcher.removeWaitingSince(customer, now).forEach(SharedAllowances::refuse);
      return;
    }
    while (batcher.tokensToRequest(customer) > 0 && holder.take(customer, allowance, 1, now) == 1) {
      batcher.pollNext(customer).complete();
    }
    if (holder.fractionOf(customer, now) > 0) {
      refuseOverdue(customer, now);
    }
    if (batcher.tokensToRequest(customer) > 0) {
      scheduleFlushLater();
    }
  }

  private void sendTokenRequest(String peer, List<String> customers, long now) {
    TokenRequest ask = batcher.createRequest(customers, now);
    TokenAsk message =
        TokenAsk.newBuilder().setAskId(ask.id()).addAllAsks(TokenCounts.of(ask.counts())).build();
    tokenRequestCount++;
    sendToPeer.test(peer, PeerMessage.newBuilder().setTokenAsk(message).build());
  }

  /**
   * Returns the view that determines where a VM requests tokens: the view in which it lends its own
   * shares, or a view of the newest epoch while it has not adopted any.
   *
   * @param active the view in which this VM lends its shares
   * @param newestEpoch the newest known epoch
   * @param skipped the members of that epoch that are not considered as holders
   */
  public static LendingView tokenRequestView(
      LendingView active, Epoch newestEpoch, TreeSet<String> skipped) {
    return active.epoch().members().isEmpty() ? new LendingView(newestEpoch, skipped) : active;
  }
}
