package org.toucanmast.runtime.vm;

import com.google.protobuf.InvalidProtocolBufferException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BiPredicate;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.toucanmast.core.configuration.ConfigurationCompiler;
import org.toucanmast.core.configuration.ConfigurationState;
import org.toucanmast.core.configuration.Database;
import org.toucanmast.core.configuration.FleetConfiguration;
import org.toucanmast.core.configuration.WatchDecision;
import org.toucanmast.core.membership.Epoch;
import org.toucanmast.core.membership.EpochAdoption;
import org.toucanmast.core.membership.EpochPlanner;
import org.toucanmast.core.membership.KeyTrustPolicy;
import org.toucanmast.core.membership.Rendezvous;
import org.toucanmast.core.text.InvalidTextException;
import org.toucanmast.runtime.allowance.AllowanceDuty;
import org.toucanmast.runtime.group.DatabaseGroup;
import org.toucanmast.runtime.ini.ConfigurationText;
import org.toucanmast.runtime.membership.PeerState;
import org.toucanmast.runtime.membership.PeerTable;
import org.toucanmast.runtime.peer.PeerIdentity;
import org.toucanmast.runtime.platform.PlatformListener;
import org.toucanmast.runtime.platform.PlatformMonitor;
import org.toucanmast.runtime.platform.PlatformVms;
import org.toucanmast.schema.ConfigurationPull;
import org.toucanmast.schema.ConfigurationPush;
import org.toucanmast.schema.PeerHeartbeat;
import org.toucanmast.schema.PeerMessage;
import org.toucanmast.schema.Settings;

/**
 * Applies what the platform and the peers say: the configuration, the list of VMs and the epoch.
 *
 * <p>All methods are called on the requests duty's thread.
 */
final class FleetDuty implements PlatformListener {
  private static final Logger log = System.getLogger(FleetDuty.class.getName());

  private final Settings settings;
  private final String self;
  private final LongSupplier clock;
  private final ConfigurationState configuration;
  private final PeerTable peers;
  private final EpochAdoption epochs;
  private final Map<String, DatabaseGroup> groups;
  private final Function<Database, DatabaseGroup> newGroup;
  private final AllowanceDuty allowances;
  private final BiPredicate<String, PeerMessage> sender;
  private final KeyTrustPolicy keyTrust;
  private PlatformMonitor platform;
  private PlatformVms listed = new PlatformVms(Map.of(), Set.of());
  private String document = "";
  private long refusedRevision;
  private boolean listSeen;
  private boolean epochSeen;

  FleetDuty(
      Settings settings,
      LongSupplier clock,
      ConfigurationState configuration,
      PeerTable peers,
      EpochAdoption epochs,
      Map<String, DatabaseGroup> groups,
      Function<Database, DatabaseGroup> newGroup,
      AllowanceDuty allowances,
      BiPredicate<String, PeerMessage> sender) {
    this.settings = settings;
    this.self = settings.getVm().getName();
    this.clock = clock;
    this.configuration = configuration;
    this.peers = peers;
    this.epochs = epochs;
    this.groups = groups;
    this.newGroup = newGroup;
    this.allowances = allowances;
    this.sender = sender;
    this.keyTrust = new KeyTrustPolicy(settings.getPlatform().getKeyFreshnessLimit());
  }

  void connect(PlatformMonitor duty) {
    platform = duty;
  }

  /** Tells whether this VM may rely on the keys it knows. */
  boolean keysAreFresh() {
    long now = clock.getAsLong();
    Set<String> members = new HashSet<>(epochs.newest().members());
    members.add(self);
    int heard = (int) members.stream().filter(member -> peers.isLive(member, now)).count();
    return keyTrust.mayTrustKeys(
        configuration.confirmationAgeInNanoseconds(now), heard, members.size());
  }

  /** Tells whether operators have taken this VM's data centre out. */
  boolean isTakenOut() {
    return configuration.current().takenOutDataCentres().contains(settings.getVm().getDataCentre());
  }

  /** Returns the addresses of the peer listeners that the platform lists. */
  Set<String> peerAddresses() {
    Set<String> addresses = new HashSet<>();
    listed.live().values().forEach(vm -> addresses.add(vm.peerAddress()));
    return addresses;
  }

  @Override
  public void onConfiguration(long revision, String value, long confirmedAt) {
    if (!value.isEmpty() && revision > configuration.current().revision()) {
      apply(revision, value);
    }
    configuration.confirm(revision, confirmedAt);
  }

  @Override
  public void onVms(PlatformVms vms) {
    listed = vms;
    listSeen = true;
    peers.retain(vms.live().keySet(), clock.getAsLong());
    proposeEpoch();
  }

  @Override
  public void onEpoch(Epoch epoch) {
    epochSeen = true;
    boolean changed = epoch.number() > epochs.newest().number();
    epochs.onEpoch(epoch, clock.getAsLong());
    if (changed) {
      updateGroups();
    }
    proposeEpoch();
  }

  /** The first live VM for the duty keeps the epoch's members equal to the platform's list. */
  private void proposeEpoch() {
    if (!listSeen) {
      return;
    }
    Set<String> staying = peers.staying(clock.getAsLong()).keySet();
    boolean mine = Rendezvous.first("epoch", staying).filter(self::equals).isPresent();
    Epoch current = epochs.newest();
    if (mine && (epochSeen || current.number() == 0)) {
      EpochPlanner.plan(current, listed.live().keySet())
          .ifPresent(members -> platform.proposeEpoch(current, members));
    }
  }

  /** Takes in the digest of a heartbeat. */
  void onDigest(PeerIdentity peer, PeerHeartbeat heartbeat, long now) {
    long revision = heartbeat.getConfigurationRevision();
    if (revision > configuration.current().revision() && revision != refusedRevision) {
      pull(peer.name());
    }
    if (heartbeat.getConfigurationAge() >= 0) {
      configuration.confirm(revision, now - heartbeat.getConfigurationAge());
    }
  }

  private void pull(String peer) {
    sender.test(
        peer,
        PeerMessage.newBuilder()
            .setConfigurationPull(
                ConfigurationPull.newBuilder().setKnownRevision(configuration.current().revision()))
            .build());
  }

  /** Answers a peer whose configuration is older. */
  void onPull(PeerIdentity peer, ConfigurationPull pull) {
    long revision = configuration.current().revision();
    if (revision <= pull.getKnownRevision()) {
      return;
    }
    sender.test(
        peer.name(),
        PeerMessage.newBuilder()
            .setConfigurationPush(
                ConfigurationPush.newBuilder()
                    .setRevision(revision)
                    .setDocument(document)
                    .setAge(configuration.confirmationAgeInNanoseconds(clock.getAsLong())))
            .build());
  }

  /** Takes in a peer's newer configuration. */
  void onPush(ConfigurationPush push) {
    if (push.getRevision() <= configuration.current().revision()) {
      return;
    }
    apply(push.getRevision(), push.getDocument());
    platform.onRevisionReceived(configuration.current().revision());
    if (push.getAge() >= 0) {
      configuration.confirm(push.getRevision(), clock.getAsLong() - push.getAge());
    }
  }

  private void apply(long revision, String json) {
    try {
      FleetConfiguration compiled =
          ConfigurationCompiler.compile(
              ConfigurationText.ofJson(json), revision, "configuration/main@" + revision);
      if (configuration.offer(compiled)) {
        document = json;
        log.log(Level.INFO, "configuration {0} is in force", revision);
        allowances.update(compiled);
        updateGroups();
      }
    } catch (InvalidTextException | InvalidProtocolBufferException e) {
      refusedRevision = revision;
      log.log(Level.ERROR, "configuration {0} is refused: {1}", revision, e.getMessage());
    }
  }

  private void updateGroups() {
    FleetConfiguration current = configuration.current();
    TreeSet<String> sharing = new TreeSet<>(epochs.newest().members());
    sharing.add(self);
    int rank = sharing.headSet(self).size();
    for (Database database : current.databases().values()) {
      groups
          .computeIfAbsent(database.name(), name -> newGroup.apply(database))
          .update(current, database, sharing.size(), rank);
    }
    for (String name : List.copyOf(groups.keySet())) {
      if (!current.databases().containsKey(name)) {
        groups.remove(name).close();
      }
    }
  }

  /** Does what is due at the heartbeat interval. */
  void tick(long now) {
    long limit = settings.getPlatform().getKeyFreshnessLimit() * 2 / 3;
    platform.setWatching(
        WatchDecision.shouldWatch(
            self, peers.live(now), configuration.confirmationAgeInNanoseconds(now), limit));
    for (PeerState peer : peers.all()) {
      onDigestAgain(peer);
    }
  }

  /** Asks again for a configuration whose push was lost. */
  private void onDigestAgain(PeerState peer) {
    long revision = peer.newest().getConfigurationRevision();
    if (revision > configuration.current().revision() && revision != refusedRevision) {
      pull(peer.identity().name());
    }
  }
}
