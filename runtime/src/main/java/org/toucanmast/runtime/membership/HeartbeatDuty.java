package org.toucanmast.runtime.membership;

import java.util.Map;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BiPredicate;
import org.toucanmast.core.allowance.AllowanceHolder;
import org.toucanmast.core.allowance.LendingView;
import org.toucanmast.core.allowance.ShareLender;
import org.toucanmast.core.configuration.ConfigurationState;
import org.toucanmast.core.membership.Epoch;
import org.toucanmast.core.membership.EpochAdoption;
import org.toucanmast.runtime.group.DatabaseGroup;
import org.toucanmast.runtime.peer.PeerIdentity;
import org.toucanmast.schema.HeldTransactions;
import org.toucanmast.schema.Lending;
import org.toucanmast.schema.PeerHeartbeat;
import org.toucanmast.schema.PeerMessage;
import org.toucanmast.schema.PlannedMove;
import org.toucanmast.schema.PrimaryDigest;
import org.toucanmast.schema.Suspicion;

/**
 * Sends and receives heartbeats: liveness, the revision of the configuration, suspicions, primaries
 * and the shares of allowances that are lent.
 */
public final class HeartbeatDuty {
  private final String self;
  private final long incarnation;
  private final long leaseDuration;
  private final PeerTable peers;
  private final ConfigurationState configuration;
  private final EpochAdoption epochs;
  private final ShareLender lender;
  private final AllowanceHolder holder;
  private final Map<String, DatabaseGroup> groups;
  private final BiPredicate<String, PeerMessage> sender;
  private final PrimaryDigests digests = new PrimaryDigests();
  private boolean leaving;

  /**
   * Creates the duty.
   *
   * @param incarnation this run of this VM; what peers echo of earlier runs counts for nothing
   * @param leaseDuration how long a lent share counts at its holder, in nanoseconds
   * @param groups the database groups of this VM by name
   * @param sender sends a message to a peer
   */
  public HeartbeatDuty(
      String self,
      long incarnation,
      long leaseDuration,
      PeerTable peers,
      ConfigurationState configuration,
      Shares shares,
      Map<String, DatabaseGroup> groups,
      BiPredicate<String, PeerMessage> sender) {
    this.self = self;
    this.incarnation = incarnation;
    this.leaseDuration = leaseDuration;
    this.peers = peers;
    this.configuration = configuration;
    this.epochs = shares.epochs();
    this.lender = shares.lender();
    this.holder = shares.holder();
    this.groups = groups;
    this.sender = sender;
  }

  /** Sets whether peers are told that this VM takes no new work and should hold nothing. */
  public void setLeaving(boolean isLeaving) {
    leaving = isLeaving;
  }

  /** Sends a heartbeat to every known peer. */
  public void beat(long now) {
    wantView(now);
    PeerHeartbeat common = common(now);
    for (PeerState peer : peers.all()) {
      sender.test(peer.identity().name(), messageTo(peer, common));
    }
  }

  /** Takes in that a peer can be sent to; a new run of it starts with nothing lent. */
  public PeerState onLinked(PeerIdentity identity, long now) {
    String name = identity.name();
    return peers.of(
        identity,
        () -> {
          lender.onPeerRestarted(name);
          holder.onWithdrawn(name, now);
        });
  }

  /**
   * Takes in a heartbeat.
   *
   * @return false when it is older than one that came before
   */
  public boolean onHeartbeat(PeerIdentity identity, PeerHeartbeat heartbeat, long now) {
    String name = identity.name();
    PeerState peer = onLinked(identity, now);
    if (identity.incarnation() < peer.identity().incarnation() || !peer.accept(heartbeat, now)) {
      return false;
    }
    Lending lending = heartbeat.getLending();
    if (heartbeat.getEchoedIncarnation() == incarnation) {
      lender.onAcknowledged(name, lending.getAcknowledgedVersion());
    }
    epochs.onPeerAdopted(name, lending.getEpoch());
    takeLease(peer, heartbeat, now);
    takeJudgements(name, heartbeat, now);
    lender.step(now);
    return true;
  }

  private void takeLease(PeerState peer, PeerHeartbeat heartbeat, long now) {
    String name = peer.identity().name();
    Lending lending = heartbeat.getLending();
    if (lending.getMembersCount() > 0) {
      peer.keepView(lending.getViewNumber(), viewOf(lending));
    }
    if (!lending.getActive()) {
      holder.onWithdrawn(name, now);
      return;
    }
    long echoed = heartbeat.getEchoed();
    boolean knowsThisRun = heartbeat.getEchoedIncarnation() == incarnation;
    if (!knowsThisRun || echoed == 0 || echoed - now > 0) {
      return;
    }
    peer.view(lending.getViewNumber())
        .ifPresent(
            view ->
                holder.onLease(
                    name,
                    new AllowanceHolder.Lease(echoed + leaseDuration, view.fraction(), view),
                    now));
  }

  private static LendingView viewOf(Lending lending) {
    return new LendingView(
        new Epoch(lending.getEpoch(), new TreeSet<>(lending.getMembersList())),
        new TreeSet<>(lending.getSkippedList()));
  }

  private void takeJudgements(String peer, PeerHeartbeat heartbeat, long now) {
    Map<String, Long> suspected = new TreeMap<>();
    heartbeat
        .getSuspicionsList()
        .forEach(each -> suspected.put(each.getDatabase(), each.getTerm()));
    groups.forEach(
        (name, group) ->
            group.onPeerJudgement(peer, Optional.ofNullable(suspected.get(name)), now));
    for (PrimaryDigest digest : heartbeat.getPrimariesList()) {
      DatabaseGroup group = groups.get(digest.getDatabase());
      if (group != null) {
        group.onPeerPrimary(digest.getEndpoint(), digest.getTerm());
      }
    }
    for (PlannedMove planned : heartbeat.getPlannedMovesList()) {
      DatabaseGroup group = groups.get(planned.getDatabase());
      if (group != null) {
        group.onPeerPlansMove(planned.getTerm(), now);
      }
    }
    for (HeldTransactions held : heartbeat.getHeldTransactionsList()) {
      DatabaseGroup group = groups.get(held.getDatabase());
      if (group != null) {
        group.onPeerHolds(peer, held.getTerm(), held.getOpen());
      }
    }
  }

  /** Decides to whom this VM wants to lend: to all members but the silent and leaving ones. */
  private void wantView(long now) {
    Epoch epoch = epochs.adopted(now);
    lender.want(new LendingView(epoch, skipped(epoch, now)), now);
    boolean lendsToSelf = owns(now) && lender.active().candidates().contains(self);
    if (lendsToSelf) {
      holder.onLease(
          self,
          new AllowanceHolder.Lease(
              now + leaseDuration, lender.active().fraction(), lender.active()),
          now);
    } else {
      holder.onWithdrawn(self, now);
    }
  }

  /** Returns the members that are passed over as holders. */
  public SortedSet<String> skipped(Epoch epoch, long now) {
    SortedSet<String> skipped = new TreeSet<>();
    for (String member : epoch.members()) {
      boolean isLeaving = member.equals(self) ? leaving : peers.isLeaving(member);
      if (!peers.isLive(member, now) || isLeaving) {
        skipped.add(member);
      }
    }
    return skipped;
  }

  private boolean owns(long now) {
    return epochs.mayUseShare(now) && lender.active().epoch().members().contains(self);
  }

  private PeerHeartbeat common(long now) {
    PeerHeartbeat.Builder heartbeat =
        PeerHeartbeat.newBuilder()
            .setSentAt(now)
            .setConfigurationRevision(configuration.current().revision())
            .setConfigurationAge(configuration.confirmationAgeInNanoseconds(now))
            .setLeaving(leaving);
    groups.forEach(
        (name, group) -> {
          group
              .suspicion()
              .ifPresent(
                  term ->
                      heartbeat.addSuspicions(
                          Suspicion.newBuilder().setDatabase(name).setTerm(term)));
          group
              .plannedMove()
              .ifPresent(
                  term ->
                      heartbeat.addPlannedMoves(
                          PlannedMove.newBuilder().setDatabase(name).setTerm(term)));
          group
              .heldTerm(now)
              .ifPresent(
                  term ->
                      heartbeat.addHeldTransactions(
                          HeldTransactions.newBuilder()
                              .setDatabase(name)
                              .setTerm(term)
                              .setOpen(group.openTransactions())));
        });
    digests.next(groups, now).forEach(heartbeat::addPrimaries);
    return heartbeat.build();
  }

  private PeerMessage messageTo(PeerState peer, PeerHeartbeat common) {
    String name = peer.identity().name();
    boolean lends = owns(common.getSentAt()) && lender.lendsTo(name);
    Lending.Builder lending =
        Lending.newBuilder()
            .setEpoch(lender.active().epoch().number())
            .setVersion(lender.version())
            .setAcknowledgedVersion(peer.newest().getLending().getVersion())
            .setAcknowledgedView(peer.viewNumber())
            .setActive(lends);
    long echoed = peer.newest().getSentAt();
    if (lends) {
      addView(lending, peer);
      if (echoed != 0) {
        lender.onLent(name, peer.heardAt());
      }
    }
    return PeerMessage.newBuilder()
        .setHeartbeat(
            common.toBuilder()
                .setEchoed(echoed)
                .setEchoedIncarnation(peer.identity().incarnation())
                .setLending(lending))
        .build();
  }

  /** Names the view by its number; spells it out until the peer has acknowledged the number. */
  private void addView(Lending.Builder lending, PeerState peer) {
    lending.setViewNumber(lender.viewNumber());
    boolean knowsThisRun = peer.newest().getEchoedIncarnation() == incarnation;
    boolean knowsView = peer.newest().getLending().getAcknowledgedView() == lender.viewNumber();
    if (!knowsThisRun || !knowsView) {
      lending
          .addAllSkipped(lender.active().skipped())
          .addAllMembers(lender.active().epoch().members());
    }
  }
}
