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
 * Sends and receives heartbeats, which report liveness, the configuration revision, suspicions,
 * planned moves, held transactions, primaries and the lent shares of allowances.
 */
public final class HeartbeatService {
  private final String self;
  private final long incarnation;
  private final long leaseDurationInNanoseconds;
  private final PeerTable peers;
  private final ConfigurationState configuration;
  private final EpochAdoption epochGate;
  private final ShareLender lender;
  private final AllowanceHolder holder;
  private final Map<String, DatabaseGroup> groups;
  private final BiPredicate<String, PeerMessage> sendToPeer;
  private final PrimaryDigestSelector digestSelector = new PrimaryDigestSelector();
  private boolean leaving;

  /**
   * Creates the service.
   *
   * @param self the name of this VM
   * @param incarnation identifies this run of this VM; echoes of earlier runs are ignored
   * @param leaseDurationInNanoseconds how long the lease of a share is valid at its holder
   * @param groups the database groups of this VM by name
   * @param sendToPeer sends a message to a peer
   */
  public HeartbeatService(
      String self,
      long incarnation,
      long leaseDurationInNanoseconds,
      PeerTable peers,
      ConfigurationState configuration,
      ShareLending shareLending,
      Map<String, DatabaseGroup> groups,
      BiPredicate<String, PeerMessage> sendToPeer) {
    this.self = self;
    this.incarnation = incarnation;
    this.leaseDurationInNanoseconds = leaseDurationInNanoseconds;
    this.peers = peers;
    this.configuration = configuration;
    this.epochGate = shareLending.epochGate();
    this.lender = shareLending.lender();
    this.holder = shareLending.holder();
    this.groups = groups;
    this.sendToPeer = sendToPeer;
  }

  /**
   * Sets whether heartbeats report this VM as leaving, so that it gets no new work and does not
   * become an allowance holder.
   */
  public void setLeaving(boolean isLeaving) {
    leaving = isLeaving;
  }

  /** Updates the lending view, and sends a heartbeat to every known peer. */
  public void sendHeartbeats(long now) {
    updateLendingView(now);
    PeerHeartbeat common = commonHeartbeat(now);
    for (PeerState peer : peers.all()) {
      sendToPeer.test(peer.identity().name(), heartbeatFor(peer, common));
    }
  }

  /** Handles a new link to a peer; a new incarnation of the peer starts without any lent share. */
  public PeerState onLinked(PeerIdentity identity, long now) {
    String name = identity.name();
    return peers.findOrCreate(
        identity,
        () -> {
          lender.onPeerRestarted(name);
          holder.onLeaseWithdrawn(name, now);
        });
  }

  /**
   * Handles a heartbeat of a peer.
   *
   * @return false if it is of an earlier incarnation, or not newer than the newest one received
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
    epochGate.onPeerAdopted(name, lending.getEpoch());
    updateLease(peer, heartbeat, now);
    updateGroups(name, heartbeat, now);
    lender.applyWantedView(now);
    return true;
  }

  private void updateLease(PeerState peer, PeerHeartbeat heartbeat, long now) {
    String name = peer.identity().name();
    Lending lending = heartbeat.getLending();
    if (lending.getMembersCount() > 0) {
      peer.setLendingView(lending.getViewNumber(), viewOf(lending));
    }
    if (!lending.getActive()) {
      holder.onLeaseWithdrawn(name, now);
      return;
    }
    long echoedTimestamp = heartbeat.getEchoed();
    boolean echoesThisIncarnation = heartbeat.getEchoedIncarnation() == incarnation;
    if (!echoesThisIncarnation || echoedTimestamp == 0 || echoedTimestamp - now > 0) {
      return;
    }
    peer.lendingView(lending.getViewNumber())
        .ifPresent(
            view ->
                holder.onLease(
                    name,
                    new AllowanceHolder.Lease(
                        echoedTimestamp + leaseDurationInNanoseconds, view.fraction(), view),
                    now));
  }

  private static LendingView viewOf(Lending lending) {
    return new LendingView(
        new Epoch(lending.getEpoch(), new TreeSet<>(lending.getMembersList())),
        new TreeSet<>(lending.getSkippedList()));
  }

  private void updateGroups(String peer, PeerHeartbeat heartbeat, long now) {
    Map<String, Long> suspectedTerms = new TreeMap<>();
    heartbeat
        .getSuspicionsList()
        .forEach(each -> suspectedTerms.put(each.getDatabase(), each.getTerm()));
    groups.forEach(
        (name, group) ->
            group.onPeerSuspicion(peer, Optional.ofNullable(suspectedTerms.get(name)), now));
    for (PrimaryDigest digest : heartbeat.getPrimariesList()) {
      DatabaseGroup group = groups.get(digest.getDatabase());
      if (group != null) {
        group.onPeerPrimary(digest.getEndpoint(), digest.getTerm());
      }
    }
    for (PlannedMove planned : heartbeat.getPlannedMovesList()) {
      DatabaseGroup group = groups.get(planned.getDatabase());
      if (group != null) {
        group.onPeerPlannedMove(planned.getTerm(), now);
      }
    }
    for (HeldTransactions held : heartbeat.getHeldTransactionsList()) {
      DatabaseGroup group = groups.get(held.getDatabase());
      if (group != null) {
        group.onPeerHeldTransactions(peer, held.getTerm(), held.getOpen());
      }
    }
  }

  /**
   * Updates the lending view so that shares are lent to members that are live and not leaving, and
   * renews or withdraws the lease of this VM's own shares to itself.
   */
  private void updateLendingView(long now) {
    Epoch epoch = epochGate.adopted(now);
    lender.setWantedView(new LendingView(epoch, skippedMembers(epoch, now)), now);
    boolean lendsToSelf = mayLendOwnShares(now) && lender.active().candidates().contains(self);
    if (lendsToSelf) {
      holder.onLease(
          self,
          new AllowanceHolder.Lease(
              now + leaseDurationInNanoseconds, lender.active().fraction(), lender.active()),
          now);
    } else {
      holder.onLeaseWithdrawn(self, now);
    }
  }

  /** Returns the members that are skipped as holders because they are silent or leaving. */
  public SortedSet<String> skippedMembers(Epoch epoch, long now) {
    SortedSet<String> skipped = new TreeSet<>();
    for (String member : epoch.members()) {
      boolean isLeaving = member.equals(self) ? leaving : peers.isLeaving(member);
      if (!peers.isLive(member, now) || isLeaving) {
        skipped.add(member);
      }
    }
    return skipped;
  }

  private boolean mayLendOwnShares(long now) {
    return epochGate.mayUseShare(now) && lender.active().epoch().members().contains(self);
  }

  private PeerHeartbeat commonHeartbeat(long now) {
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
    digestSelector.select(groups, now).forEach(heartbeat::addPrimaries);
    return heartbeat.build();
  }

  private PeerMessage heartbeatFor(PeerState peer, PeerHeartbeat common) {
    String name = peer.identity().name();
    boolean lendsToPeer = mayLendOwnShares(common.getSentAt()) && lender.lendsTo(name);
    Lending.Builder lending =
        Lending.newBuilder()
            .setEpoch(lender.active().epoch().number())
            .setVersion(lender.version())
            .setAcknowledgedVersion(peer.newestHeartbeat().getLending().getVersion())
            .setAcknowledgedView(peer.lendingViewNumber())
            .setActive(lendsToPeer);
    long echoedTimestamp = peer.newestHeartbeat().getSentAt();
    if (lendsToPeer) {
      addLendingView(lending, peer);
      if (echoedTimestamp != 0) {
        lender.onLeaseRenewed(name, peer.newestHeartbeatAt());
      }
    }
    return PeerMessage.newBuilder()
        .setHeartbeat(
            common.toBuilder()
                .setEchoed(echoedTimestamp)
                .setEchoedIncarnation(peer.identity().incarnation())
                .setLending(lending))
        .build();
  }

  /**
   * Adds the number of the lending view, and its content until the peer has acknowledged the
   * number.
   */
  private void addLendingView(Lending.Builder lending, PeerState peer) {
    lending.setViewNumber(lender.viewNumber());
    boolean echoesThisIncarnation = peer.newestHeartbeat().getEchoedIncarnation() == incarnation;
    boolean viewAcknowledged =
        peer.newestHeartbeat().getLending().getAcknowledgedView() == lender.viewNumber();
    if (!echoesThisIncarnation || !viewAcknowledged) {
      lending
          .addAllSkipped(lender.active().skipped())
          .addAllMembers(lender.active().epoch().members());
    }
  }
}
