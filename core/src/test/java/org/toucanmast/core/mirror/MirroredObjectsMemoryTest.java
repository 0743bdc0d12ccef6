package org.toucanmast.core.mirror;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.ref.WeakReference;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against a heap that is filled by former states of objects whose size others decide. */
class MirroredObjectsMemoryTest {
  private static final int CONTENT_IN_BYTES = 100 * 1024;

  private record Item(String name, long revision, byte[] content) implements MirroredObject {
    @Override
    public long heapBytes() {
      return content.length;
    }

    @Override
    public boolean hasContentOf(MirroredObject other) {
      return other instanceof Item item && item.content == content;
    }
  }

  private final MirroredObjects<Item> objects =
      new MirroredObjects<>(
          item -> Optional.empty(),
          new MirroredObjects.Listener<Item>() {
            @Override
            public void onObject(Item object, long changedSince) {
              // Nothing keeps what is reported.
            }

            @Override
            public void onObjectRemoved(String name) {
              // Nothing keeps what is reported.
            }
          });
  private final List<WeakReference<byte[]>> contents = new ArrayList<>();
  private long revision;

  private void load() {
    objects.replaceAll(List.of(), new StorePosition(1, 0), name -> 0);
  }

  private void change(String name, boolean deleted) {
    revision++;
    Item item = new Item(name, revision, new byte[CONTENT_IN_BYTES]);
    contents.add(new WeakReference<>(item.content()));
    StorePosition position = new StorePosition(1, revision);
    objects.apply(item, deleted, position, changed -> 0);
    objects.advance(position);
  }

  private long heldContents() {
    System.gc();
    return contents.stream().filter(content -> content.get() != null).count();
  }

  @Test
  void should_keep_only_the_last_state_of_an_object_that_changes_often() {
    load();
    for (int version = 0; version < 200; version++) {
      change("main", false);
    }

    assertThat(heldContents()).isEqualTo(1);
    assertThat(objects.changesSince(new StorePosition(1, 0)).orElseThrow()).hasSize(1);
  }

  @Test
  void should_keep_a_limited_number_of_bytes_of_deleted_objects() {
    load();
    for (int number = 0; number < 300; number++) {
      change("short-lived-" + number, false);
      change("short-lived-" + number, true);
    }

    assertThat(heldContents()).isLessThanOrEqualTo(10);
    assertThat(objects.changesSince(new StorePosition(1, 0)).orElseThrow())
        .hasSize(300)
        .allMatch(change -> change.object().isEmpty());
  }

  @Test
  void should_keep_a_limited_number_of_bytes_of_objects_deleted_before_several_restores() {
    load();
    for (int restore = 0; restore < 10; restore++) {
      for (int number = 0; number < 30; number++) {
        change("short-lived-" + restore + "-" + number, false);
        change("short-lived-" + restore + "-" + number, true);
      }
      objects.restart(List.of(), new StorePosition(2 + restore, 0), name -> 0);
      revision = 0;
      objects.endRetention();
    }

    assertThat(heldContents()).isLessThanOrEqualTo(20);
  }

  @Test
  void should_pass_on_a_deletion_after_an_older_change_was_repeated() {
    load();
    change("a", false);
    change("a", true);
    Item repeated = new Item("a", 1, new byte[0]);
    objects.apply(repeated, false, new StorePosition(1, 2), changed -> 0);

    List<MirroredObjects.Change<Item>> changes =
        objects.changesSince(new StorePosition(1, 1)).orElseThrow();

    assertThat(changes).hasSize(1);
    assertThat(changes.get(0).object()).isEmpty();
    assertThat(changes.get(0).revision()).isEqualTo(2);
  }
}
