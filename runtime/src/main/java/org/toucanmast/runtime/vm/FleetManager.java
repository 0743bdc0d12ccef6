package org.toucanmast.runtime.vm;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vertx.core.json.DecodeException;
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
import org.toucanmast.core.mirror.StorePosition;
import org.toucanmast.core.text.InvalidTextException;
import org.toucanmast.runtime.allowance.SharedAllowances;
import org.toucanmast.runtime.group.DatabaseGroup;
import org.toucanmast.runtime.ini.ConfigurationText;
import org.toucanmast.runtime.membership.PeerState;
import org.toucanmast.runtime.membership.PeerTable;
import org.toucanmast.runtime.peer.PeerIdentity;
import org.toucanmast.runtime.platform.PlatformEditor;
import org.toucanmast.runtime.platform.PlatformListener;
import org.toucanmast.runtime.platform.PlatformMonitor;
import org.toucanmast.runtime.platform.PlatformVms;
import org.toucanmast.schema.ConfigurationPull;
import org.toucanmast.schema.ConfigurationPush;
import org.toucanmast.schema.PeerHeartbeat;
import org.toucanmast.schema.PeerMessage;
import org.toucanmast.schema.Settings;

/**
 * Applies the configuration, the list of VMs and the epoch that the platform and the peers report.
 *
 * <p>All methods must be called on the event loop of the request service.
 */
final class FleetManager implements PlatformListener {
  private static final Logger log = System.getLogger(FleetManager.class.getName());

  private final Settings settings;
  private final String self;
  private final LongSupplier clock;
  private final ConfigurationState configuration;
  private final PeerTable peers;
  private final EpochAdoption epochGate;
  private final Map<String, DatabaseGroup> groups;
  private final Function<Database, DatabaseGroup> newGroup;
  private final SharedAllowances allowances;
  private final BiPredicate<String, PeerMessage> sendToPeer;
  private final KeyTrustPolicy keyTrust;
  private PlatformMonitor platform;
  private PlatformVms listedVms = new PlatformVms(Map.of(), Set.of());
  private String configurationDocument = "";
  private long rejectedRevision;
  private boolean vmListReceived;
  private boolean epochReceived;

  FleetManager(
      Settings settings,
      LongSupplier clock,
      ConfigurationState configuration,
      PeerTable peers,
      EpochAdoption epochGate,
      Map<String, DatabaseGroup> groups,
      Function<Database, DatabaseGroup> newGroup,
      SharedAllowances allowances,
      BiPredicate<String, PeerMessage> sendToPeer) {
    this.settings = settings;
    this.self = settings.getVm().getName();
    this.clock = clock;
    this.configuration = configuration;
    this.peers = peers;
    this.epochGate = epochGate;
    this.groups = groups;
    this.newGroup = newGroup;
    this.allowances = allowances;
    this.sendToPeer = sendToPeer;
    this.keyTrust = new KeyTrustPolicy(settings.getPlatform().getKeyFreshnessLimit());
  }

  void setPlatform(PlatformMonitor newPlatform) {
    platform = newPlatform;
  }

  /**
   * Returns whether this VM may rely on the keys it knows: its configuration was confirmed
   * recently, or a majority of the members is live.
   */
  boolean keysAreFresh() {
    long now = clock.getAsLong();
    Set<String> members = new HashSet<>(epochGate.newest().members());
    members.add(self);
    int liveMembers = (int) members.stream().filter(member -> peers.isLive(member, now)).count();
    return keyTrust.mayTrustKeys(
        configuration.confirmationAgeInNanoseconds(now), liveMembers, members.size());
  }

  /** Returns whether operators have taken out this VM's data centre. */
  boolean isTakenOut() {
    return configuration.current().takenOutDataCentres().contains(settings.getVm().getDataCentre());
  }

  /** Returns the addresses at which the listed VMs accept links of peers. */
  Set<String> peerAddresses() {
    Set<String> addresses = new HashSet<>();
    listedVms.live().values().forEach(vm -> addresses.add(vm.peerAddress()));
    return addresses;
  }

  @Override
  public void onConfiguration(long revision, String value, long confirmedAt) {
    if (!value.isEmpty() && isNews(revision)) {
      apply(revision, value);
    }
    configuration.confirm(revision, confirmedAt);
  }

  @Override
  public void onVms(PlatformVms vms) {
    listedVms = vms;
    vmListReceived = true;
    peers.removeUnlisted(vms.live().keySet(), clock.getAsLong());
    proposeEpoch();
  }

  @Override
  public void onEpoch(Epoch epoch) {
    epochReceived = true;
    boolean isNewer = epoch.number() > epochGate.newest().number();
    epochGate.onEpoch(epoch, clock.getAsLong());
    if (isNewer) {
      updateGroups();
    }
    proposeEpoch();
  }

  /**
   * Proposes an epoch whose members are the VMs that the platform lists, if rendezvous hashing
   * assigns this task to this VM.
   */
  private void proposeEpoch() {
    if (!vmListReceived) {
      return;
    }
    Set<String> candidates = peers.liveAndNotLeaving(clock.getAsLong()).keySet();
    boolean assigned = Rendezvous.first("epoch", candidates).filter(self::equals).isPresent();
    Epoch current = epochGate.newest();
    if (assigned && (epochReceived || current.number() == 0)) {
      EpochPlanner.plan(current, listedVms.live().keySet())
          .ifPresent(members -> platform.proposeEpoch(current, members));
    }
  }

  /** Pulls the configuration of a peer if its heartbeat reports a newer revision than this VM's. */
  void onHeartbeat(PeerIdentity peer, PeerHeartbeat heartbeat, long now) {
    long revision = heartbeat.getConfigurationRevision();
    if (isNews(revision)) {
      sendPull(peer.name());
    }
    if (heartbeat.getConfigurationAge() >= 0) {
      configuration.confirm(revision, now - heartbeat.getConfigurationAge());
    }
  }

  private void sendPull(String peer) {
    sendToPeer.test(
        peer,
        PeerMessage.newBuilder()
            .setConfigurationPull(
                ConfigurationPull.newBuilder().setKnownRevision(configuration.current().revision()))
            .build());
  }

  /** Sends the configuration to a peer that asks for it, if the peer's is older. */
  void onPull(PeerIdentity peer, ConfigurationPull pull) {
    long revision = configuration.current().revision();
    if (revision <= pull.getKnownRevision()) {
      return;
    }
    sendToPeer.test(
        peer.name(),
        PeerMessage.newBuilder()
            .setConfigurationPush(
                ConfigurationPush.newBuilder()
                    .setRevision(revision)
                    .setDocument(configurationDocument)
                    .setAge(configuration.confirmationAgeInNanoseconds(clock.getAsLong())))
            .build());
  }

  /** Applies a configuration that a peer sent, if it is newer. */
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

  private boolean isNews(long revision) {
    return revision > configuration.current().revision()
        && revision != rejectedRevision
        && !configuration.isKeptAgainst(revision);
  }

  /**
   * Returns whether the platform was restored from a copy that shows an earlier state than the one
   * in force. A key that was withdrawn since must not be accepted again.
   */
  private boolean isEarlierState(long revision, String document) {
    long era = StorePosition.ofNumber(revision).era();
    return era > StorePosition.ofNumber(configuration.current().revision()).era()
        && configuration.isReady()
        && PlatformEditor.historyOf(document)
            .isBefore(PlatformEditor.historyOf(configurationDocument));
  }

  private void apply(long revision, String document) {
    try {
      if (isEarlierState(revision, document)) {
        configuration.keepAgainst(revision);
        log.log(
            Level.ERROR,
            "the platform was restored and shows an earlier configuration (revision {0}); the one"
                + " in force (revision {1}) is kept: repeat the edits that the platform has lost",
            revision,
            configuration.current().revision());
        return;
      }
      FleetConfiguration compiled =
          ConfigurationCompiler.compile(
              ConfigurationText.ofJson(document), revision, "configuration/main@" + revision);
      if (configuration.replaceIfNewer(compiled)) {
        configurationDocument = document;
        log.log(Level.INFO, "configuration {0} is in force", revision);
        allowances.update(compiled);
        updateGroups();
      }
    } catch (InvalidTextException
        | InvalidProtocolBufferException
        | DecodeException
        | ClassCastException e) {
      rejectedRevision = revision;
      log.log(Level.ERROR, "configuration {0} is refused: {1}", revision, e.getMessage());
    }
  }

  private void updateGroups() {
    FleetConfiguration current = configuration.current();
    TreeSet<String> sharingVms = new TreeSet<>(epochGate.newest().members());
    sharingVms.add(self);
    int rank = sharingVms.headSet(self).size();
    for (Database database : current.databases().values()) {
      groups
          .computeIfAbsent(database.name(), name -> newGroup.apply(database))
          .update(current, database, sharingVms.size(), rank);
    }
    for (String name : List.copyOf(groups.keySet())) {
      if (!current.databases().containsKey(name)) {
        groups.remove(name).close();
      }
    }
  }

  /**
   * Decides whether this VM watches the platform, and repeats pulls; called at the heartbeat
   * interval.
   *
   * @param now the current time, in nanoseconds
   */
  void tick(long now) {
    long watchAgeLimitInNanoseconds = settings.getPlatform().getKeyFreshnessLimit() * 2 / 3;
    platform.setWatching(
        WatchDecision.shouldWatch(
            self,
            peers.liveVms(now),
            configuration.confirmationAgeInNanoseconds(now),
            watchAgeLimitInNanoseconds));
    for (PeerState peer : peers.all()) {
      retryPull(peer);
    }
  }

  /** Pulls a peer's newer configuration again, because an earlier push may have been lost. */
  private void retryPull(PeerState peer) {
    long revision = peer.newestHeartbeat().getConfigurationRevision();
    if (isNews(revision)) {
      sendPull(peer.identity().name());
    }
  }
}
