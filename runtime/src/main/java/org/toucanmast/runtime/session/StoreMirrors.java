package org.toucanmast.runtime.session;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.StringJoiner;
import java.util.TreeMap;
import org.toucanmast.core.mirror.MirrorFreshness;
import org.toucanmast.core.mirror.PropagationTiming;
import org.toucanmast.core.mirror.StorePosition;
import org.toucanmast.core.mirror.WatchRole;
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
  }

  private final KindMirror.Environment environment;
  private final VmClock clock;
  private final EventLog log;
  private final FleetLinks links;
  private final Listener listener;
  private final Map<String, MirroredKind> kinds = new TreeMap<>();
  private final Set<String> refusedKinds = new HashSet<>();
  private final Map<String, Long> lastPullAt = new HashMap<>();
  private final String vm;
  private final long startedAt;
  private boolean assigned;
  private boolean storeRefused;

  private record MirroredKind(KindMirror mirror, MirrorFreshness freshness) {}

  StoreMirrors(
      Vertx vertx,
      ObjectStore store,
      VmClock clock,
      EventLog log,
      FleetLinks links,
      String vm,
      Listener listener) {
    this.environment = new KindMirror.Environment(vertx, clock, store, log);
    this.clock = clock;
    this.log = log;
    this.links = links;
    this.listener = listener;
    this.vm = vm;
    this.startedAt = clock.now();
  }

  void add(String kind, PropagationTiming timing, KindMirror.Listener kindListener) {
    MirrorFreshness freshness = new MirrorFreshness(vm, timing, startedAt);
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
        };
    KindMirror mirror =
        new KindMirror(environment, kind, timing, freshness, kindListener, storeListener);
    kinds.put(kind, new MirroredKind(mirror, freshness));
  }

  void start() {
    kinds.values().forEach(kind -> kind.mirror().start());
  }

  boolean areLoaded() {
    return kinds.values().stream().allMatch(kind -> kind.mirror().isLoaded());
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

  /** Registers a gauge of the age of each kind, in milliseconds; -1 while it is unknown. */
  void registerAges(MetricRegistry metrics) {
    for (String kind : kinds.keySet()) {
      Gauge<Long> age = () -> ageInMilliseconds(kind).orElse(-1);
      metrics.registerGauge("mirror.age." + kind, age);
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

  /** Adds the state of the mirrors to a heartbeat for a neighbour. */
  void describe(FleetPulse.Builder heartbeat) {
    kinds.forEach(
        (name, kind) -> {
          MirrorState.Builder state =
              MirrorState.newBuilder()
                  .setKind(name)
                  .setChangedAt(kind.mirror().lastChangeRevision());
          ageInMilliseconds(name).ifPresent(state::setAgeInMilliseconds);
          heartbeat.addMirrors(state);
        });
  }

  /** Requests what this VM's mirrors lack from the neighbour that sent a heartbeat. */
  void onHeartbeat(String vm, FleetPulse heartbeat) {
    for (MirrorState state : heartbeat.getMirrorsList()) {
      MirroredKind kind = kinds.get(state.getKind());
      if (kind == null) {
        continue;
      }
      if (state.getChangedAt() > kind.mirror().lastChangeRevision()) {
        pull(vm, state.getKind(), kind.mirror());
      } else if (state.hasAgeInMilliseconds()) {
        onPeerAge(kind, state.getAgeInMilliseconds());
      }
    }
  }

  private void pull(String vm, String kind, KindMirror mirror) {
    long now = clock.now();
    Long lastPull = lastPullAt.get(kind);
    if (lastPull == null || now - lastPull >= PULL_INTERVAL_IN_MILLISECONDS) {
      lastPullAt.put(kind, now);
      links.pullMirror(
          vm, MirrorPull.newBuilder().setKind(kind).setCompleteTo(mirror.completeTo()).build());
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
    MirrorPush.Builder content = MirrorPush.newBuilder().setKind(request.getKind());
    MirroredKind kind = kinds.get(request.getKind());
    if (kind == null) {
      return content.build();
    }
    ageInMilliseconds(request.getKind()).ifPresent(content::setAgeInMilliseconds);
    KindMirror.Update update = kind.mirror().updateFor(request.getCompleteTo());
    content.setChangedAt(update.lastChange()).setCompleteTo(Math.max(0, update.completeTo()));
    update.since().ifPresent(content::setChangesSince);
    for (ObjectStore.Change change : update.changes()) {
      StoredObject object = change.object();
      MirrorObject.Builder item =
          MirrorObject.newBuilder()
              .setName(object.name())
              .setRevision(object.revision())
              .setDeleted(change.deleted())
              .setMaximumAgeInMilliseconds(update.maximumAges().getOrDefault(object.name(), 0L));
      if (object.content() != null && !change.deleted()) {
        item.setContent(object.content().encode());
      }
      content.addObjects(item);
    }
    return content.build();
  }

  /** Takes over what a peer passed on of the mirror of a kind. */
  void onContent(String vm, MirrorPush content) {
    MirroredKind kind = kinds.get(content.getKind());
    if (kind == null) {
      return;
    }
    KindMirror mirror = kind.mirror();
    lastPullAt.remove(content.getKind());
    List<ObjectStore.Change> changes = new ArrayList<>();
    Map<String, Long> ages = new HashMap<>();
    for (MirrorObject item : content.getObjectsList()) {
      ages.put(item.getName(), item.getMaximumAgeInMilliseconds());
      JsonObject value = item.getContent().isEmpty() ? null : new JsonObject(item.getContent());
      changes.add(
          new ObjectStore.Change(
              new StoredObject(item.getName(), new StorePosition(0, item.getRevision()), value),
              item.getDeleted()));
    }
    boolean changed =
        mirror.onUpdate(
            new KindMirror.Update(
                content.hasChangesSince()
                    ? Optional.of(content.getChangesSince())
                    : Optional.empty(),
                changes,
                content.getCompleteTo(),
                content.getChangedAt(),
                ages));
    if (content.hasAgeInMilliseconds() && content.getChangedAt() <= mirror.lastChangeRevision()) {
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
          changes.size(),
          "revision",
          content.getChangedAt());
      listener.onMirrorsChanged();
    }
  }
}
