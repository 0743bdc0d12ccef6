package org.toucanmast.runtime.session;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import java.io.OutputStream;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.toucanmast.core.mirror.PropagationTiming;
import org.toucanmast.core.mirror.StorePosition;
import org.toucanmast.runtime.clock.VmClock;
import org.toucanmast.runtime.events.EventLog;
import org.toucanmast.runtime.port.ObjectStore.Changes;
import org.toucanmast.runtime.port.StoreException;
import org.toucanmast.runtime.port.StoredObject;
import org.toucanmast.runtime.store.InMemoryObjectStore;
import org.toucanmast.runtime.store.KindMirror;
import org.toucanmast.schema.FleetPulse;
import org.toucanmast.schema.MirrorState;

class StoreMirrorsTest {
  private static final String CONFIGURATION = "configuration";
  private static final String ENDPOINTS = "endpoints";

  private final Vertx vertx = Vertx.vertx();
  private final InMemoryObjectStore store = new InMemoryObjectStore();
  private long now = 100_000;
  private int announcements;
  private StoreMirrors mirrors;

  @BeforeEach
  void start() {
    mirrors =
        new StoreMirrors(
            vertx,
            store,
            new VmClock(() -> now, () -> now),
            new EventLog("vm", OutputStream.nullOutputStream()),
            null,
            "vm",
            new StoreMirrors.Listener() {
              @Override
              public void onMirrorsChanged() {
                announcements++;
              }

              @Override
              public void onStoreAccessChanged() {
                // The tests ask for the state.
              }
            });
    mirrors.add(CONFIGURATION, PropagationTiming.within(3_000), new IgnoringListener());
    mirrors.add(ENDPOINTS, PropagationTiming.within(3_000), new IgnoringListener());
    mirrors.start();
    announcements = 0;
  }

  @AfterEach
  void close() {
    vertx.close();
  }

  private static final class IgnoringListener implements KindMirror.Listener {
    @Override
    public void onObject(StoredObject object, long changedSince) {
      // The tests look at what is watched.
    }

    @Override
    public void onObjectRemoved(String name) {
      // The tests look at what is watched.
    }
  }

  private void onHeartbeat(long configurationAge, long endpointsAge) {
    mirrors.onHeartbeat(
        "peer",
        FleetPulse.newBuilder()
            .addMirrors(state(CONFIGURATION, configurationAge))
            .addMirrors(state(ENDPOINTS, endpointsAge))
            .build());
    mirrors.updateWatching();
  }

  private static MirrorState state(String kind, long age) {
    return MirrorState.newBuilder()
        .setKind(kind)
        .setChangedAt(-1)
        .setAgeInMilliseconds(age)
        .build();
  }

  @Test
  void should_watch_a_kind_whose_age_is_high_although_another_kind_is_current() {
    now += 3_500;
    onHeartbeat(3_400, 0);

    assertThat(store.watchedKinds()).containsExactly(CONFIGURATION);
  }

  @Test
  void should_watch_nothing_while_peers_know_all_kinds() {
    for (int second = 0; second < 20; second++) {
      now += 1_000;
      onHeartbeat(1_500, 500);
    }

    assertThat(store.watchedKinds()).isEmpty();
  }

  @Test
  void should_count_as_refused_while_one_kind_gets_no_answers() {
    mirrors.setAssigned(true);
    now += 1_000;
    mirrors.updateWatching();
    store.lastWatchOf(ENDPOINTS).fail(new StoreException(StoreException.Reason.REFUSED, "503"));
    store.lastWatchOf(CONFIGURATION).complete(new Changes(List.of(), new StorePosition(0, 20)));

    assertThat(mirrors.isStoreRefused()).isTrue();
  }

  @Test
  void should_pass_an_age_on_at_once_when_peers_may_know_a_high_one() {
    now += 2_000;
    onHeartbeat(0, 0);
    assertThat(announcements).isEqualTo(2);

    now += 500;
    onHeartbeat(0, 0);
    assertThat(announcements).isEqualTo(2);
  }
}
