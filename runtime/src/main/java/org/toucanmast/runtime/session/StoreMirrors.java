package org.toucanmast.runtime.session;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.StringJoiner;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import org.toucanmast.core.mirror.MirrorFreshness;
import org.toucanmast.core.mirror.StoreEra;
import org.toucanmast.core.mirror.StorePosition;
import org.toucanmast.core.mirror.WatchRole;
import org.toucanmast.runtime.clock.VmClock;
import org.toucanmast.runtime.events.EventKind;
import org.toucanmast.runtime.events.EventLog;
import org.toucanmast.runtime.store.KindMirror;
import org.toucanmast.schema.FleetPulse;
import org.toucanmast.schema.MirrorPull;
import org.toucanmast.schema.MirrorPush;
import org.toucanmast.schema.MirrorState;

/**
 * The mirrors of the store's kinds at one VM. Few VMs watch the store; the others take changes from
 * their neighbours, and watch a kind themselves if they hear nothing recent of it.
 */
final class StoreMirrors {
  /** Minimum time between two requests for a peer's mirror of a kind; an answer may be large. */
  private static final long PULL_INTERVAL_IN_MILLISECONDS = 300;

  /** Time after the start in which the listings and the other VMs' entries arrive. */
  private static final long STARTUP_DELAY_IN_MILLISECONDS = 600;

  /** Receives what concerns the VM's neighbours. */
  interface Listener {
    /** Neighbours may lack changes of a mirror. */
    void onMirrorsChanged();

    /** The store answered this VM again, or no longer does. */
    void onStoreAccessChanged();

    /** The store was restored, and began a new era. */
    void onNewEra();
  }

  private final KindMirror.Environment environment;
  private final VmClock clock;
  private final EventLog log;
  private final BiConsumer<String, MirrorPull> pullSender;
  private final Listener listener;
  private final Map<String, MirroredKind> kinds = new TreeMap<>();
  private final Set<String> refusedKinds = new HashSet<>();
  private final Map<String, Long> lastPullAt = new HashMap<>();
  private final StoreEra era;
  private final Set<String> kindsWithRetainedKnown = new HashSet<>();
  private final Set<String> requestsForRetained = new HashSet<>();
  private final String vm;
  private final long startedAt;
  private boolean assigned;
  private boolean storeRefused;
  private boolean heardFromPeers;

  private record MirroredKind(KindMirror mirror, MirrorFreshness freshness) {}

  /**
   * Creates mirrors of no kinds.
   *
   * @param pullSender sends a request for a mirror's content to a VM
   * @param vm the name of this VM
   */
  StoreMirrors(
      KindMirror.Environment environment,
      BiConsumer<String, MirrorPull> pullSender,
      String vm,
      Listener listener) {
    this.environment = environment;
    this.era = environment.era();
    this.clock = environment.clock();
    this.log = environment.log();
    this.pullSender = pullSender;
    this.listener = listener;
    this.vm = vm;
    this.startedAt = clock.now();
  }

  void add(KindMirror.Kind mirrored, KindMirror.Listener kindListener) {
    String kind = mirrored.name();
    MirrorFreshness freshness = new MirrorFreshness(vm, mirrored.timing(), startedAt);
    KindMirror.StoreListener storeListener =
        new KindMirror.StoreListener() {
          @Override
          public void onStoreAvailability(boolean available) {
            StoreMirrors.this.onStoreAvailability(kind, available);
          }

          @Override
          public void onCurrent() {
            if (freshness.onStoreAnswered(clock.now())) {
              listener.onMirrorsChanged();
            }
          }

          @Override
          public void onMirrorChanged() {
            listener.onMirrorsChanged();
          }

          @Override
          public void onNewEra() {
            onRestored("store", kind);
          }
        };
    KindMirror mirror =
        new KindMirror(environment, mirrored, freshness, kindListener, storeListener);
    kinds.put(kind, new MirroredKind(mirror, freshness));
  }

  /**
   * Lets all mirrors take over the objects of a new era.
   *
   * @param source from whom the VM has learned of the era
   * @param learnedBy the kind whose mirror takes over its objects already
   */
  private void onRestored(String source, String learnedBy) {
    log.log(
        EventKind.DEPENDENCY,
        "new era of the store",
        "era",
        era.number(),
        "source",
        source,
        "objects",
        learnedBy);
    kindsWithRetainedKnown.clear();
    requestsForRetained.clear();
    kinds.forEach(
        (name, kind) -> {
          if (!name.equals(learnedBy)) {
            kind.mirror().onNewEra();
          }
        });
    listener.onNewEra();
    listener.onMirrorsChanged();
  }

  /** Records the era of an answer that the store gave to a call of another component. */
  void onAnswerOfEra(long number) {
    if (era.onAnswer(number, clock.now())) {
      onRestored("store", "");
    }
  }

  void start() {
    kinds.values().forEach(kind -> kind.mirror().start());
  }

  /** Returns whether all objects are known, and what peers retain from earlier eras as well. */
  boolean areLoaded() {
    return requestsForRetained.isEmpty()
        && kinds.values().stream().allMatch(kind -> kind.mirror().isLoaded());
  }

  /** Returns whether a peer has told what it knows of the store. */
  boolean hasHeardFromPeers() {
    return heardFromPeers;
  }

  /** Returns whether the store does not answer this VM. */
  boolean isStoreRefused() {
    return storeRefused;
  }

  /** A VM that gets no answers for one kind counts as refused, whatever the other kinds get. */
  private void onStoreAvailability(String kind, boolean available) {
    if (available) {
      refusedKinds.remove(kind);
    } else if (kinds.get(kind).mirror().isWatching()) {
      refusedKinds.add(kind);
    }
    updateStoreRefused();
  }

  private void updateStoreRefused() {
    boolean nowRefused = !refusedKinds.isEmpty();
    if (storeRefused != nowRefused) {
      storeRefused = nowRefused;
      listener.onStoreAccessChanged();
    }
  }

  /**
   * Returns how long ago the store gave the answer from which this VM knows a kind, in
   * milliseconds; empty if it has not answered anybody.
   */
  OptionalLong ageInMilliseconds(String kind) {
    return kinds.get(kind).freshness().ageInMilliseconds(clock.now());
  }

  /**
   * Registers a gauge of the age of each kind, in milliseconds, which is -1 while it is unknown, a
   * gauge of the objects retained from earlier eras, gauges of the bytes that the mirror holds, and
   * one of the store's era.
   */
  void registerMetrics(MetricRegistry metrics) {
    Gauge<Long> eraNumber = era::number;
    metrics.registerGauge("store.era", eraNumber);
    for (String kind : kinds.keySet()) {
      Gauge<Long> age = () -> ageInMilliseconds(kind).orElse(-1);
      metrics.registerGauge("mirror.age." + kind, age);
      Gauge<Integer> retained = () -> kinds.get(kind).mirror().retainedObjects().size();
      metrics.registerGauge("mirror.retained." + kind, retained);
      KindMirror mirror = kinds.get(kind).mirror();
      Gauge<Long> objectBytes = mirror::objectBytes;
      metrics.registerGauge("mirror.object-bytes." + kind, objectBytes);
      Gauge<Long> deletedBytes = mirror::deletedBytes;
      metrics.registerGauge("mirror.deleted-bytes." + kind, deletedBytes);
      Gauge<Long> logBytes = mirror::logBytes;
      metrics.registerGauge("mirror.log-bytes." + kind, logBytes);
    }
  }

  /** Returns the ages of all kinds, in milliseconds, as a text for the log. */
  String describeAges() {
    StringJoiner ages = new StringJoiner(" ");
    for (String kind : kinds.keySet()) {
      OptionalLong age = ageInMilliseconds(kind);
      ages.add(kind + "=" + (age.isPresent() ? age.getAsLong() : "unknown"));
    }
    return ages.toString();
  }

  /** Sets whether this VM watches the store on behalf of its data centre. */
  void setAssigned(boolean newAssigned) {
    assigned = newAssigned;
  }

  /**
   * Starts or stops watching each kind in the store; must be called periodically.
   *
   * <p>A VM that has just started watches only after a while: until it knows the others, it would
   * take itself for the watcher, and so would every VM of a fleet that starts at once.
   */
  void updateWatching() {
    long now = clock.now();
    boolean settled = now - startedAt >= STARTUP_DELAY_IN_MILLISECONDS;
    kinds.forEach(
        (name, kind) -> {
          WatchRole role = settled ? role(kind, now) : WatchRole.FOLLOWER;
          kind.mirror().setRole(role);
          kind.mirror().updateRetention();
          if (!role.watches()) {
            refusedKinds.remove(name);
          }
        });
    updateStoreRefused();
  }

  private WatchRole role(MirroredKind kind, long now) {
    if (assigned) {
      return WatchRole.WATCHER;
    }
    return kind.freshness().isOutdated(now) ? WatchRole.FALLBACK : WatchRole.FOLLOWER;
  }

  /**
   * Adds the store's era, and of which kinds this VM retains objects, to a heartbeat for any VM:
   * one that has just started needs them before it serves sessions.
   */
  void describeEra(FleetPulse.Builder heartbeat) {
    heartbeat.setStoreEra(era.number());
    era.ageInMilliseconds(clock.now()).ifPresent(heartbeat::setStoreEraAgeInMilliseconds);
    kinds.forEach(
        (name, kind) -> {
          if (!kind.mirror().retainedObjects().isEmpty()) {
            heartbeat.addRetainedKinds(name);
          }
        });
  }

  /** Adds the state of the mirrors to a heartbeat for a neighbour. */
  void describe(FleetPulse.Builder heartbeat) {
    kinds.forEach(
        (name, kind) -> {
          MirrorState.Builder state =
              MirrorState.newBuilder()
                  .setKind(name)
                  .setEra(kind.mirror().lastChange().era())
                  .setChangedAt(kind.mirror().lastChange().revision());
          ageInMilliseconds(name).ifPresent(state::setAgeInMilliseconds);
          heartbeat.addMirrors(state);
        });
  }

  /**
   * Requests what this VM's mirrors lack from the VM that sent a heartbeat. What it knows from an
   * earlier era is of no use, nor is its age.
   */
  void onHeartbeat(String vm, FleetPulse heartbeat) {
    heardFromPeers = true;
    OptionalLong eraAge =
        heartbeat.hasStoreEraAgeInMilliseconds()
            ? OptionalLong.of(heartbeat.getStoreEraAgeInMilliseconds())
            : OptionalLong.empty();
    if (era.onPeer(heartbeat.getStoreEra(), eraAge, clock.now())) {
      onRestored(vm, "");
    }
    if (heartbeat.getStoreEra() == era.number()) {
      heartbeat.getRetainedKindsList().forEach(kind -> requestRetained(vm, kind));
    }
    for (MirrorState state : heartbeat.getMirrorsList()) {
      MirroredKind kind = kinds.get(state.getKind());
      if (kind == null || state.getEra() < era.number()) {
        continue;
      }
      KindMirror mirror = kind.mirror();
      StorePosition changedAt = new StorePosition(state.getEra(), state.getChangedAt());
      if (changedAt.isAfter(mirror.lastChange())) {
        pull(vm, state.getKind(), mirror.completeTo());
      } else if (state.hasAgeInMilliseconds()) {
        onPeerAge(kind, state.getAgeInMilliseconds());
      }
    }
  }

  /**
   * Requests the objects that a peer retains, unless this VM retains some as well or a peer has
   * passed them on: a VM that has started in the present era knows no earlier one.
   */
  private void requestRetained(String vm, String kindName) {
    MirroredKind kind = kinds.get(kindName);
    if (kind != null
        && kind.mirror().retainedObjects().isEmpty()
        && !kindsWithRetainedKnown.contains(kindName)) {
      requestsForRetained.add(kindName);
      pull(vm, kindName, new StorePosition(era.number(), 0));
    }
  }

  private void pull(String vm, String kind, StorePosition completeTo) {
    long now = clock.now();
    Long lastPull = lastPullAt.get(kind);
    if (lastPull == null || now - lastPull >= PULL_INTERVAL_IN_MILLISECONDS) {
      lastPullAt.put(kind, now);
      pullSender.accept(
          vm,
          MirrorPull.newBuilder()
              .setKind(kind)
              .setEra(completeTo.era())
              .setCompleteTo(completeTo.revision())
              .build());
    }
  }

  /** Takes over the age of a peer whose changes this VM has. */
  private void onPeerAge(MirroredKind kind, long ageInMilliseconds) {
    if (kind.freshness().onPeerAge(ageInMilliseconds, clock.now())) {
      listener.onMirrorsChanged();
    }
  }

  /** Returns what a peer lacks of the mirror of a kind. */
  MirrorPush contentFor(MirrorPull request) {
    MirroredKind kind = kinds.get(request.getKind());
    if (kind == null) {
      return MirrorPush.newBuilder().setKind(request.getKind()).build();
    }
    KindMirror.Update update =
        kind.mirror().updateFor(new StorePosition(request.getEra(), request.getCompleteTo()));
    return MirrorMessages.encode(request.getKind(), update, ageInMilliseconds(request.getKind()));
  }

  /** Takes over what a peer passed on of the mirror of a kind. */
  void onContent(String vm, MirrorPush content) {
    MirroredKind kind = kinds.get(content.getKind());
    if (kind == null) {
      return;
    }
    KindMirror mirror = kind.mirror();
    lastPullAt.remove(content.getKind());
    requestsForRetained.remove(content.getKind());
    if (content.getEra() == era.number() && !content.hasChangesSince()) {
      kindsWithRetainedKnown.add(content.getKind());
    }
    boolean changed = mirror.onUpdate(MirrorMessages.decode(content));
    StorePosition changedAt = new StorePosition(content.getEra(), content.getChangedAt());
    boolean isSameEra = changedAt.era() == mirror.lastChange().era();
    if (content.hasAgeInMilliseconds() && isSameEra && !changedAt.isAfter(mirror.lastChange())) {
      onPeerAge(kind, content.getAgeInMilliseconds());
    }
    if (changed) {
      log.log(
          EventKind.DEPENDENCY,
          "changes taken from a peer",
          "objects",
          content.getKind(),
          "peer",
          vm,
          "changes",
          content.getObjectsCount(),
          "era",
          content.getEra(),
          "revision",
          content.getChangedAt(),
          "retained",
          content.getRetainedCount());
      listener.onMirrorsChanged();
    }
  }
}
