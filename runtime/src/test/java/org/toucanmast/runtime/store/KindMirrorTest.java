package org.toucanmast.runtime.store;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.toucanmast.runtime.events.EventLog;
import org.toucanmast.runtime.port.ObjectStore.Change;
import org.toucanmast.runtime.port.ObjectStore.Changes;
import org.toucanmast.runtime.port.StoreException;
import org.toucanmast.runtime.port.StoreException.Reason;
import org.toucanmast.runtime.port.StoredObject;

class KindMirrorTest {
  private final Vertx vertx = Vertx.vertx();
  private final InMemoryObjectStore store = new InMemoryObjectStore();
  private final List<String> notifications = new ArrayList<>();
  private final KindMirror mirror =
      new KindMirror(
          vertx,
          store,
          new EventLog("vm", OutputStream.nullOutputStream()),
          "kind",
          1_000,
          new KindMirror.Listener() {
            @Override
            public void onObject(StoredObject object) {
              notifications.add("+" + object.name());
            }

            @Override
            public void onObjectRemoved(String name) {
              notifications.add("-" + name);
            }
          });

  @AfterEach
  void close() {
    vertx.close();
  }

  @Test
  void should_list_once_then_watch_for_changes() {
    store.put("kind", "a", new JsonObject());
    mirror.start();
    StoredObject changed = new StoredObject("b", 50, new JsonObject());
    store.lastWatch().complete(new Changes(List.of(new Change(changed, false)), 50));

    assertThat(notifications).containsExactly("+a", "+b");
    assertThat(store.listCalls()).isEqualTo(1);
  }

  @Test
  void should_list_again_when_the_store_no_longer_keeps_the_history() {
    StoredObject first = store.put("kind", "a", new JsonObject());
    mirror.start();
    store.delete("kind", "a", first.revision());
    store.put("kind", "b", new JsonObject());
    store.lastWatch().fail(new StoreException(Reason.HISTORY_GONE, "gone"));

    assertThat(notifications).containsExactly("+a", "+b", "-a");
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
  void should_ignore_an_older_revision_of_an_object() {
    mirror.start();
    mirror.mergeFromPeer(60, List.of(new StoredObject("a", 60, new JsonObject())));
    mirror.mergeFromPeer(61, List.of(new StoredObject("a", 59, new JsonObject())));

    assertThat(notifications).containsExactly("+a");
    assertThat(mirror.objects()).extracting(StoredObject::revision).containsExactly(60L);
  }

  @Test
  void should_keep_objects_that_a_peer_lacks_while_the_store_answers() {
    store.put("kind", "a", new JsonObject());
    mirror.start();
    mirror.mergeFromPeer(90, List.of(new StoredObject("b", 90, new JsonObject())));

    assertThat(notifications).containsExactly("+a", "+b");
  }

  @Test
  void should_have_the_same_last_change_revision_as_a_mirror_that_listed_later() {
    mirror.start();
    StoredObject changed = new StoredObject("a", 50, new JsonObject());
    store.lastWatch().complete(new Changes(List.of(new Change(changed, false)), 57));

    assertThat(mirror.lastChangeRevision()).isEqualTo(50);
  }

  @Test
  void should_reach_the_last_change_revision_of_a_merged_peer() {
    store.put("kind", "a", new JsonObject());
    mirror.start();
    mirror.mergeFromPeer(90, List.of());

    assertThat(mirror.lastChangeRevision()).isEqualTo(90);
  }
}
