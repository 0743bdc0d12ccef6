package org.toucanmast.runtime.session;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.StringJoiner;
import java.util.TreeMap;
import org.toucanmast.core.mirror.MirrorFreshness;
import org.toucanmast.runtime.clock.VmClock;
import org.toucanmast.runtime.events.EventKind;
import org.toucanmast.runtime.events.EventLog;
import org.toucanmast.runtime.fleet.FleetLinks;
import org.toucanmast.runtime.port.ObjectStore;
import org.toucanmast.runtime.port.StoredObject;
import org.toucanmast.runtime.store.KindMirror;
import org.toucanmast.schema.FleetPulse;
import org.toucanmast.schema.MirrorObject;
import org.toucanmast.schema.MirrorPull;
import org.toucanmast.schema.MirrorPush;
import org.toucanmast.schema.MirrorState;

/**
 * The mirrors of the store's kinds at one VM. Few VMs watch the store; the others take changes from
 * their neighbours, and watch the store themselves if they hear nothing recent.
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
  }

  private final Vertx vertx;
  private final ObjectStore store;
  private final VmClock clock;
  private final EventLog log;
  private final FleetLinks links;
  private final Listener listener;
  private final MirrorFreshness freshness;
  private final Map<String, KindMirror> mirrors = new HashMap<>();
  private final Map<String, MirrorFreshness> freshnessByKind = new TreeMap<>();
  private final Map<String, Long> lastPullAt = new HashMap<>();
  private final String vm;
  private final long startedAt;
  private boolean assigned;
  private boolean watching;
  private boolean storeRefused;

  StoreMirrors(
      Vertx vertx,
      ObjectStore store,
      VmClock clock,
      EventLog log,
      FleetLinks links,
      String vm,
      Listener listener) {
    this.vertx = vertx;
    this.store = store;
    this.clock = clock;
    this.log = log;
    this.links = links;
    this.listener = listener;
    this.vm = vm;
    this.startedAt = clock.now();
    this.freshness = new MirrorFreshness(vm, startedAt);
  }

  void add(String kind, long waitInMilliseconds, KindMirror.Listener kindListener) {
    KindMirror.StoreListener storeListener =
        new KindMirror.StoreListener() {
          @Override
          public void onStoreAvailability(boolean available) {
            if (available) {
              freshnessByKind.get(kind).onStoreAnswered(clock.now());
            }
            StoreMirrors.this.onStoreAvailability(available);
          }

          @Override
          public void onMirrorChanged() {
            listener.onMirrorsChanged();
          }
        };
    freshnessByKind.put(kind, new MirrorFreshness(vm, startedAt));
    mirrors.put(
        kind,
        new KindMirror(vertx, store, log, kind, waitInMilliseconds, kindListener, storeListener));
  }

  void start() {
    mirrors.values().forEach(KindMirror::start);
  }

  boolean areLoaded() {
    return mirrors.values().stream().allMatch(KindMirror::isLoaded);
  }

  /** Returns whether the store does not answer this VM. */
  boolean isStoreRefused() {
    return storeRefused;
  }

  private void onStoreAvailability(boolean available) {
    if (available) {
      freshness.onStoreAnswered(clock.now());
    }
    setStoreRefused(watching && !available);
  }

  private void setStoreRefused(boolean newStoreRefused) {
    if (storeRefused != newStoreRefused) {
      storeRefused = newStoreRefused;
      listener.onStoreAccessChanged();
    }
  }

  /**
   * Returns how long ago the store gave the answer from which this VM knows a kind, in
   * milliseconds; empty if it has not answered anybody.
   */
  OptionalLong ageInMilliseconds(String kind) {
    return freshnessByKind.get(kind).ageInMilliseconds(clock.now());
  }

  /** Registers a gauge of the age of each kind, in milliseconds; -1 while it is unknown. */
  void registerAges(MetricRegistry metrics) {
    for (String kind : freshnessByKind.keySet()) {
      Gauge<Long> age = () -> ageInMilliseconds(kind).orElse(-1);
      metrics.registerGauge("mirror.age." + kind, age);
    }
  }

  /** Returns the ages of all kinds, in milliseconds, as a text for the log. */
  String describeAges() {
    long now = clock.now();
    StringJoiner ages = new StringJoiner(" ");
    freshnessByKind.forEach(
        (kind, kindFreshness) -> {
          OptionalLong age = kindFreshness.ageInMilliseconds(now);
          ages.add(kind + "=" + (age.isPresent() ? age.getAsLong() : "unknown"));
        });
    return ages.toString();
  }

  /** Sets whether this VM watches the store on behalf of its data centre. */
  void setAssigned(boolean newAssigned) {
    assigned = newAssigned;
  }

  /**
   * Starts or stops watching the store; must be called periodically.
   *
   * <p>A VM that has just started watches only after a while: until it knows the others, it would
   * take itself for the watcher, and so would every VM of a fleet that starts at once.
   */
  void updateWatching() {
    long now = clock.now();
    boolean settled = now - startedAt >= STARTUP_DELAY_IN_MILLISECONDS;
    watching = settled && (assigned || freshness.isOutdated(now));
    mirrors.values().forEach(mirror -> mirror.setWatching(watching));
    if (!watching) {
      setStoreRefused(false);
    }
  }

  /** Adds the state of the mirrors to a heartbeat for a neighbour. */
  void describe(FleetPulse.Builder heartbeat) {
    freshness.ageInMilliseconds(clock.now()).ifPresent(heartbeat::setStoreAgeInMilliseconds);
    mirrors.forEach(
        (kind, mirror) -> {
          MirrorState.Builder state =
              MirrorState.newBuilder().setKind(kind).setChangedAt(mirror.lastChangeRevision());
          ageInMilliseconds(kind).ifPresent(state::setAgeInMilliseconds);
          heartbeat.addMirrors(state);
        });
  }

  /** Requests what this VM's mirrors lack from the neighbour that sent a heartbeat. */
  void onHeartbeat(String vm, FleetPulse heartbeat) {
    long now = clock.now();
    if (heartbeat.hasStoreAgeInMilliseconds()) {
      freshness.onPeerAge(heartbeat.getStoreAgeInMilliseconds(), now);
    }
    for (MirrorState state : heartbeat.getMirrorsList()) {
      KindMirror mirror = mirrors.get(state.getKind());
      if (mirror == null) {
        continue;
      }
      if (state.getChangedAt() <= mirror.lastChangeRevision()) {
        if (state.hasAgeInMilliseconds()) {
          freshnessByKind.get(state.getKind()).onPeerAge(state.getAgeInMilliseconds(), now);
        }
        continue;
      }
      Long lastPull = lastPullAt.get(state.getKind());
      if (lastPull == null || now - lastPull >= PULL_INTERVAL_IN_MILLISECONDS) {
        lastPullAt.put(state.getKind(), now);
        links.pullMirror(
            vm,
            MirrorPull.newBuilder()
                .setKind(state.getKind())
                .setCompleteTo(mirror.completeTo())
                .build());
      }
    }
  }

  /** Returns what a peer lacks of the mirror of a kind. */
  MirrorPush contentFor(MirrorPull request) {
    MirrorPush.Builder content = MirrorPush.newBuilder().setKind(request.getKind());
    KindMirror mirror = mirrors.get(request.getKind());
    if (mirror == null) {
      return content.build();
    }
    KindMirror.Update update = mirror.updateFor(request.getCompleteTo());
    content.setChangedAt(update.lastChange()).setCompleteTo(Math.max(0, update.completeTo()));
    update.since().ifPresent(content::setChangesSince);
    for (ObjectStore.Change change : update.changes()) {
      StoredObject object = change.object();
      MirrorObject.Builder item =
          MirrorObject.newBuilder()
              .setName(object.name())
              .setRevision(object.revision())
              .setDeleted(change.deleted());
      if (object.content() != null && !change.deleted()) {
        item.setContent(object.content().encode());
      }
      content.addObjects(item);
    }
    return content.build();
  }

  /** Takes over what a peer passed on of the mirror of a kind. */
  void onContent(String vm, MirrorPush content) {
    KindMirror mirror = mirrors.get(content.getKind());
    if (mirror == null) {
      return;
    }
    lastPullAt.remove(content.getKind());
    List<ObjectStore.Change> changes = new ArrayList<>();
    for (MirrorObject item : content.getObjectsList()) {
      JsonObject value = item.getContent().isEmpty() ? null : new JsonObject(item.getContent());
      changes.add(
          new ObjectStore.Change(
              new StoredObject(item.getName(), item.getRevision(), value), item.getDeleted()));
    }
    boolean changed =
        mirror.onUpdate(
            new KindMirror.Update(
                content.hasChangesSince()
                    ? Optional.of(content.getChangesSince())
                    : Optional.empty(),
                changes,
                content.getCompleteTo(),
                content.getChangedAt()));
    if (changed) {
      log.log(
          EventKind.DEPENDENCY,
          "changes taken from a peer",
          "objects",
          content.getKind(),
          "peer",
          vm,
          "changes",
          changes.size(),
          "revision",
          content.getChangedAt());
      listener.onMirrorsChanged();
    }
  }
}
