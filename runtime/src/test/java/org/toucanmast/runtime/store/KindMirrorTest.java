package org.toucanmast.runtime.store;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.toucanmast.core.mirror.MirrorFreshness;
import org.toucanmast.core.mirror.PropagationTiming;
import org.toucanmast.core.mirror.Retention;
import org.toucanmast.core.mirror.StoreEra;
import org.toucanmast.core.mirror.StorePosition;
import org.toucanmast.core.mirror.WatchRole;
import org.toucanmast.runtime.clock.VmClock;
import org.toucanmast.runtime.events.EventLog;
import org.toucanmast.runtime.port.ObjectStore.Change;
import org.toucanmast.runtime.port.ObjectStore.Changes;
import org.toucanmast.runtime.port.StoreException;
import org.toucanmast.runtime.port.StoreException.Reason;
import org.toucanmast.runtime.port.StoredObject;

class KindMirrorTest {
  private static final PropagationTiming TIMING = PropagationTiming.within(3_000);

  private final Vertx vertx = Vertx.vertx();
  private final InMemoryObjectStore store = new InMemoryObjectStore();
  private final List<String> notifications = new ArrayList<>();
  private final List<Boolean> availability = new ArrayList<>();
  private final Map<String, Long> changeTimes = new HashMap<>();
  private final MirrorFreshness freshness = new MirrorFreshness("vm", TIMING, 0);
  private final StoreEra era = new StoreEra();
  private int currentReports;
  private long now = 100_000;
  private final KindMirror mirror =
      new KindMirror(
          new KindMirror.Environment(
              vertx,
              new VmClock(() -> now, () -> now),
              store,
              era,
              new EventLog("vm", OutputStream.nullOutputStream())),
          new KindMirror.Kind("kind", TIMING, Retention.REWRITTEN, object -> Optional.empty()),
          freshness,
          new KindMirror.Listener() {
            @Override
            public void onObject(StoredObject object, long changedSince) {
              changeTimes.put(object.name(), changedSince);
              notifications.add("+" + object.name());
            }

            @Override
            public void onObjectRemoved(String name) {
              notifications.add("-" + name);
            }
          },
          new KindMirror.StoreListener() {
            @Override
            public void onStoreAvailability(boolean available) {
              availability.add(available);
            }

            @Override
            public void onCurrent() {
              currentReports++;
              freshness.onStoreAnswered(now);
            }

            @Override
            public void onMirrorChanged() {
              // The tests look at the mirror itself.
            }

            @Override
            public void onNewEra() {
              // There are no other mirrors.
            }
          });

  @BeforeEach
  void watch() {
    mirror.setRole(WatchRole.WATCHER);
  }

  private static KindMirror.Update snapshot(long completeTo, StoredObject... objects) {
    return update(Optional.empty(), completeTo, objects);
  }

  private static KindMirror.Update update(
      Optional<Long> since, long completeTo, StoredObject... objects) {
    List<Change> changes = Stream.of(objects).map(object -> new Change(object, false)).toList();
    return new KindMirror.Update(
        since, changes, new StorePosition(0, completeTo), completeTo, Map.of(), List.of(), 0);
  }

  private static StoredObject object(String name, long revision) {
    return new StoredObject(name, new StorePosition(0, revision), new JsonObject());
  }

  private static Changes changes(List<Change> changes, long revision) {
    return new Changes(changes, new StorePosition(0, revision));
  }

  @AfterEach
  void close() {
    vertx.close();
  }

  @Test
  void should_list_once_then_watch_for_changes() {
    store.put("kind", "a", new JsonObject());
    mirror.start();
    StoredObject changed = object("b", 50);
    store.lastWatch().complete(changes(List.of(new Change(changed, false)), 50));

    assertThat(notifications).containsExactly("+a", "+b");
    assertThat(store.listCalls()).isEqualTo(1);
  }

  @Test
  void should_list_again_when_the_store_no_longer_keeps_the_history() {
    StoredObject first = store.put("kind", "a", new JsonObject());
    mirror.start();
    store.delete("kind", "a", first.position());
    store.put("kind", "b", new JsonObject());
    store.lastWatch().fail(new StoreException(Reason.HISTORY_GONE, "gone"));

    assertThat(notifications).containsExactly("+a", "+b", "-a");
  }

  /**
   * Guards against a watch that is repeated for ever although its answer is too long to be read.
   */
  @Test
  void should_list_again_when_the_changes_are_too_long_together() {
    StoredObject first = store.put("kind", "a", new JsonObject());
    mirror.start();
    store.delete("kind", "a", first.position());
    store.put("kind", "b", new JsonObject());
    store.lastWatch().fail(new StoreException(Reason.TOO_LONG, "60 versions"));

    assertThat(notifications).containsExactly("+a", "+b", "-a");
    assertThat(store.watchCalls()).isEqualTo(2);
  }

  @Test
  void should_resume_watching_after_a_failed_watch() {
    mirror.start();
    var failedWatch = store.lastWatch();
    failedWatch.fail(new StoreException(Reason.UNKNOWN, "cut"));

    await().untilAsserted(() -> assertThat(store.lastWatch()).isNotSameAs(failedWatch));
    assertThat(store.listCalls()).isEqualTo(1);
  }

  @Test
  void should_repeat_a_failed_call_at_once_when_it_becomes_a_watcher() {
    mirror.setRole(WatchRole.FALLBACK);
    mirror.start();
    store.lastWatch().fail(new StoreException(Reason.REFUSED, "503"));
    assertThat(store.watchCalls()).isEqualTo(1);

    mirror.setRole(WatchRole.WATCHER);
    assertThat(store.watchCalls()).isEqualTo(2);
  }

  @Test
  void should_ignore_an_older_revision_of_an_object() {
    mirror.start();
    mirror.onUpdate(snapshot(60, object("a", 60)));
    mirror.onUpdate(snapshot(61, object("a", 59)));

    assertThat(notifications).containsExactly("+a");
    assertThat(mirror.objects()).extracting(StoredObject::revision).containsExactly(60L);
  }

  @Test
  void should_keep_objects_that_are_newer_than_what_a_peer_has_seen() {
    mirror.start();
    store.lastWatch().complete(changes(List.of(new Change(object("a", 90), false)), 90));
    mirror.onUpdate(
        new KindMirror.Update(
            Optional.empty(), List.of(), new StorePosition(0, 80), 95, Map.of(), List.of(), 0));

    assertThat(notifications).containsExactly("+a");
  }

  @Test
  void should_remove_objects_that_the_newer_mirror_of_a_peer_lacks() {
    store.put("kind", "a", new JsonObject());
    mirror.start();
    mirror.onUpdate(snapshot(90, object("b", 90)));

    assertThat(notifications).containsExactly("+a", "+b", "-a");
  }

  @Test
  void should_have_the_same_last_change_revision_as_a_mirror_that_listed_later() {
    mirror.start();
    StoredObject changed = object("a", 50);
    store.lastWatch().complete(changes(List.of(new Change(changed, false)), 57));

    assertThat(mirror.lastChange().revision()).isEqualTo(50);
  }

  @Test
  void should_reach_the_last_change_revision_of_a_merged_peer() {
    store.put("kind", "a", new JsonObject());
    mirror.start();
    mirror.onUpdate(snapshot(90));

    assertThat(mirror.lastChange().revision()).isEqualTo(90);
  }

  @Test
  void should_make_no_call_while_peers_pass_on_the_changes() {
    mirror.setRole(WatchRole.FOLLOWER);
    store.put("kind", "a", new JsonObject());
    mirror.start();
    long completeTo = mirror.completeTo().revision();
    mirror.onUpdate(update(Optional.of(completeTo), 50, object("b", 50)));

    assertThat(notifications).containsExactly("+a", "+b");
    assertThat(store.watchCalls()).isZero();
  }

  @Test
  void should_pass_on_only_the_changes_that_a_peer_lacks() {
    mirror.start();
    store.lastWatch().complete(changes(List.of(new Change(object("a", 50), false)), 55));
    await().untilAsserted(() -> assertThat(store.watchCalls()).isEqualTo(2));
    store.lastWatch().complete(changes(List.of(new Change(object("b", 60), false)), 60));

    KindMirror.Update update = mirror.updateFor(new StorePosition(0, 55));

    assertThat(update.since()).contains(55L);
    assertThat(update.changes()).extracting(change -> change.object().name()).containsExactly("b");
    assertThat(update.completeTo().revision()).isEqualTo(60);
  }

  @Test
  void should_pass_on_all_objects_to_a_peer_that_has_none() {
    store.put("kind", "a", new JsonObject());
    mirror.start();

    KindMirror.Update update = mirror.updateFor(new StorePosition(0, 0));

    assertThat(update.since()).isEmpty();
    assertThat(update.changes()).hasSize(1);
  }

  @Test
  void should_not_apply_changes_that_leave_a_gap() {
    mirror.start();
    boolean changed = mirror.onUpdate(update(Optional.of(70L), 80, object("a", 75)));

    assertThat(changed).isFalse();
    assertThat(mirror.objects()).isEmpty();
  }

  @Test
  void should_not_restore_an_object_that_a_repeated_older_change_contains() {
    mirror.start();
    Change written = new Change(object("a", 50), false);
    Change deleted = new Change(object("a", 51), true);
    store.lastWatch().complete(changes(List.of(written, deleted), 60));
    mirror.onUpdate(
        new KindMirror.Update(
            Optional.of(40L),
            List.of(written, deleted, new Change(object("b", 61), false)),
            new StorePosition(0, 61),
            61,
            Map.of(),
            List.of(),
            0));

    assertThat(notifications).containsExactly("+a", "-a", "+b");
  }

  @Test
  void should_not_take_a_listing_that_may_be_old_for_current() {
    mirror.start();
    assertThat(currentReports).isZero();

    store.lastWatch().complete(changes(List.of(), 70));
    assertThat(currentReports).isEqualTo(1);
  }

  @Test
  void should_take_a_change_for_new_when_the_watch_waited_for_it() {
    mirror.start();
    now += 1_500;
    store.lastWatch().complete(changes(List.of(new Change(object("a", 50), false)), 50));

    assertThat(changeTimes).containsEntry("a", now);
  }

  @Test
  void should_take_a_change_for_as_old_as_the_last_answer_after_a_watch_that_failed() {
    mirror.start();
    long lastAnswerAt = now;
    store.lastWatch().complete(changes(List.of(), 40));
    now += 2_500;
    store.lastWatch().fail(new StoreException(Reason.UNKNOWN, "no answer"));
    await().untilAsserted(() -> assertThat(store.watchCalls()).isEqualTo(3));
    now += 150;
    store.lastWatch().complete(changes(List.of(new Change(object("a", 50), false)), 50));

    assertThat(changeTimes).containsEntry("a", lastAnswerAt);
  }

  @Test
  void should_take_a_change_from_a_peer_for_as_old_as_the_peer_does() {
    mirror.start();
    mirror.onUpdate(
        new KindMirror.Update(
            Optional.empty(),
            List.of(new Change(object("a", 60), false)),
            new StorePosition(0, 60),
            60,
            Map.of("a", 2_000L),
            List.of(),
            0));

    assertThat(changeTimes).containsEntry("a", now - 2_000);
    now += 300;
    assertThat(mirror.updateFor(new StorePosition(0, 0)).maximumAges()).containsEntry("a", 2_300L);
  }

  @Test
  void should_list_again_when_a_restored_store_accepts_the_revision_of_an_earlier_era() {
    mirror.start();
    store.put("kind", "a", new JsonObject());
    Runnable restore = store.copy();
    store.lastWatch().complete(changes(List.of(new Change(object("b", 50), false)), 50));
    await().untilAsserted(() -> assertThat(store.watchCalls()).isEqualTo(2));
    restore.run();
    store.lastWatch().complete(new Changes(List.of(), new StorePosition(1, 60)));

    assertThat(store.listCalls()).isEqualTo(2);
    assertThat(mirror.completeTo()).isEqualTo(new StorePosition(1, 11));
  }

  @Test
  void should_ignore_an_answer_of_an_earlier_era_that_arrives_late() {
    mirror.start();
    era.onAnswer(3, now);
    store.lastWatch().complete(changes(List.of(new Change(object("a", 50), false)), 50));

    assertThat(mirror.objects()).isEmpty();
    assertThat(notifications).isEmpty();
  }

  @Test
  void should_pause_when_the_position_of_a_listing_is_refused_as_well() {
    mirror.start();
    store.lastWatch().fail(new StoreException(Reason.HISTORY_GONE, "gone"));
    assertThat(store.listCalls()).isEqualTo(2);
    store.lastWatch().fail(new StoreException(Reason.HISTORY_GONE, "gone"));

    assertThat(store.listCalls()).isEqualTo(2);
    await().untilAsserted(() -> assertThat(store.listCalls()).isEqualTo(3));
  }

  @Test
  void should_list_without_waiting_for_its_watch_when_a_new_era_becomes_known() {
    mirror.start();
    Runnable restore = store.copy();
    restore.run();
    era.onPeer(1, OptionalLong.of(100), now);
    mirror.onNewEra();

    assertThat(store.listCalls()).isEqualTo(2);
    assertThat(mirror.completeTo().era()).isEqualTo(1);
  }

  @Test
  void should_ignore_what_a_peer_knows_from_an_earlier_era() {
    mirror.start();
    era.onAnswer(1, now);

    assertThat(mirror.onUpdate(snapshot(90, object("a", 90)))).isFalse();
    assertThat(mirror.objects()).isEmpty();
  }

  @Test
  void should_take_over_the_lower_revisions_of_a_later_era_from_a_peer() {
    mirror.start();
    mirror.onUpdate(snapshot(90, object("a", 90)));
    StoredObject later = new StoredObject("a", new StorePosition(1, 20), new JsonObject());
    boolean changed =
        mirror.onUpdate(
            new KindMirror.Update(
                Optional.empty(),
                List.of(new Change(later, false)),
                new StorePosition(1, 30),
                20,
                Map.of(),
                List.of(),
                0));

    assertThat(changed).isTrue();
    assertThat(mirror.lastChange()).isEqualTo(new StorePosition(1, 20));
  }

  @Test
  void should_keep_an_object_that_the_objects_of_a_later_era_from_a_peer_lack() {
    mirror.start();
    era.onAnswer(0, now);
    mirror.onUpdate(snapshot(90, object("a", 90)));
    mirror.onUpdate(
        new KindMirror.Update(
            Optional.empty(), List.of(), new StorePosition(1, 30), 20, Map.of(), List.of(), 0));
    mirror.updateRetention();

    assertThat(era.number()).isEqualTo(1);
    assertThat(notifications).containsExactly("+a");
  }

  @Test
  void should_keep_an_object_whose_lease_ran_out_while_the_store_was_away() {
    StoredObject alive = store.put("kind", "a", new JsonObject());
    mirror.start();
    store.lastWatch().fail(new StoreException(Reason.REFUSED, "503"));
    await().untilAsserted(() -> assertThat(store.watchCalls()).isEqualTo(2));
    Change lapsed = new Change(object("a", alive.revision() + 1), true);
    store.lastWatch().complete(changes(List.of(lapsed), alive.revision() + 1));
    assertThat(notifications).containsExactly("+a");

    now += 2_000;
    mirror.updateRetention();
    assertThat(notifications).containsExactly("+a");
    now += 1_000;
    mirror.updateRetention();
    assertThat(notifications).containsExactly("+a", "-a");
  }

  @Test
  void should_keep_an_object_for_as_long_as_the_peer_that_passes_its_removal_on() {
    mirror.setRole(WatchRole.FOLLOWER);
    StoredObject alive = store.put("kind", "a", new JsonObject());
    mirror.start();
    StorePosition after = new StorePosition(0, alive.revision() + 1);
    mirror.onUpdate(
        new KindMirror.Update(
            Optional.of(alive.revision()),
            List.of(new Change(object("a", after.revision()), true)),
            after,
            after.revision(),
            Map.of(),
            List.of(alive),
            600));
    assertThat(notifications).containsExactly("+a");

    now += 700;
    mirror.updateRetention();
    assertThat(notifications).containsExactly("+a", "-a");
  }

  @Test
  void should_remove_an_object_at_once_while_the_store_answers() {
    StoredObject leaving = store.put("kind", "a", new JsonObject());
    mirror.start();
    store
        .lastWatch()
        .complete(
            changes(
                List.of(new Change(object("a", leaving.revision() + 1), true)),
                leaving.revision() + 1));

    assertThat(notifications).containsExactly("+a", "-a");
  }

  @Test
  void should_report_when_the_store_stops_and_resumes_answering() {
    mirror.start();
    store.lastWatch().fail(new StoreException(Reason.REFUSED, "503"));
    await().untilAsserted(() -> assertThat(store.watchCalls()).isEqualTo(2));
    store.lastWatch().complete(changes(List.of(), 70));

    assertThat(availability).containsSubsequence(true, false, true);
  }
}
