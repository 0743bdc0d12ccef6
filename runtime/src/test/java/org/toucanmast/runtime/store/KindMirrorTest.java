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
  private final List<String> seen = new ArrayList<>();
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
              seen.add("+" + object.name());
            }

            @Override
            public void onGone(String name) {
              seen.add("-" + name);
            }
          });

  @AfterEach
  void close() {
    vertx.close();
  }

  @Test
  void should_list_once_then_follow_changes() {
    store.put("kind", "a", new JsonObject());
    mirror.start();
    StoredObject changed = new StoredObject("b", 50, new JsonObject());
    store.lastWatch().complete(new Changes(List.of(new Change(changed, false)), 50));

    assertThat(seen).containsExactly("+a", "+b");
    assertThat(store.lists()).isEqualTo(1);
  }

  @Test
  void should_list_again_when_the_history_is_gone() {
    StoredObject first = store.put("kind", "a", new JsonObject());
    mirror.start();
    store.delete("kind", "a", first.revision());
    store.put("kind", "b", new JsonObject());
    store.lastWatch().fail(new StoreException(Reason.HISTORY_GONE, "gone"));

    assertThat(seen).containsExactly("+a", "+b", "-a");
  }

  @Test
  void should_go_on_watching_after_a_lost_watch() {
    mirror.start();
    var lost = store.lastWatch();
    lost.fail(new StoreException(Reason.UNKNOWN, "cut"));

    await().untilAsserted(() -> assertThat(store.lastWatch()).isNotSameAs(lost));
    assertThat(store.lists()).isEqualTo(1);
  }

  @Test
  void should_not_go_back_to_an_older_revision_of_an_object() {
    mirror.start();
    mirror.adopt(60, List.of(new StoredObject("a", 60, new JsonObject())));
    mirror.adopt(61, List.of(new StoredObject("a", 59, new JsonObject())));

    assertThat(seen).containsExactly("+a");
    assertThat(mirror.objects()).extracting(StoredObject::revision).containsExactly(60L);
  }

  @Test
  void should_keep_what_it_knows_of_others_while_its_own_store_answers() {
    store.put("kind", "a", new JsonObject());
    mirror.start();
    mirror.adopt(90, List.of(new StoredObject("b", 90, new JsonObject())));

    assertThat(seen).containsExactly("+a", "+b");
  }

  @Test
  void should_agree_on_the_last_change_with_a_mirror_that_listed_later() {
    mirror.start();
    StoredObject changed = new StoredObject("a", 50, new JsonObject());
    store.lastWatch().complete(new Changes(List.of(new Change(changed, false)), 57));

    assertThat(mirror.changedAt()).isEqualTo(50);
  }

  @Test
  void should_not_stay_behind_a_peer_from_which_it_took_everything() {
    store.put("kind", "a", new JsonObject());
    mirror.start();
    mirror.adopt(90, List.of());

    assertThat(mirror.changedAt()).isEqualTo(90);
  }
}
