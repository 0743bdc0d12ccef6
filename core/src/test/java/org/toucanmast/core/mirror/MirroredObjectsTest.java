package org.toucanmast.core.mirror;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class MirroredObjectsTest {
  private static final long TIME_BEFORE_RESTORE = 1_000;
  private static final long TIME_AFTER_RESTORE = 9_000;

  /** An object whose version is the number in its content, if it is positive. */
  private record Item(String name, long revision, int content) implements MirroredObject {
    @Override
    public long heapBytes() {
      return 100;
    }

    @Override
    public boolean hasContentOf(MirroredObject other) {
      return other instanceof Item item && item.content == content;
    }

    Optional<ContentVersion> version() {
      return content > 0 ? Optional.of(new ContentVersion(0, content)) : Optional.empty();
    }
  }

  private final List<String> notifications = new ArrayList<>();
  private final MirroredObjects<Item> objects =
      new MirroredObjects<>(
          Item::version,
          new MirroredObjects.Listener<Item>() {
            @Override
            public void onObject(Item object, long changedSince) {
              notifications.add("+" + object.name() + object.content() + "@" + changedSince);
            }

            @Override
            public void onObjectRemoved(String name) {
              notifications.add("-" + name);
            }

            @Override
            public void onObjectOutdatedInStore(String name) {
              notifications.add("?" + name);
            }
          });

  @BeforeEach
  void load() {
    objects.replaceAll(
        List.of(new Item("a", 18, 2), new Item("b", 20, 7)),
        new StorePosition(1, 20),
        name -> TIME_BEFORE_RESTORE);
    notifications.clear();
  }

  private void restore(long revision, Item... items) {
    objects.restart(List.of(items), new StorePosition(2, revision), name -> TIME_AFTER_RESTORE);
  }

  private void change(boolean deleted, Item item) {
    StorePosition position = new StorePosition(2, item.revision());
    objects.apply(item, deleted, position, name -> TIME_AFTER_RESTORE);
    objects.advance(position);
  }

  @Test
  void should_go_back_to_the_revision_of_a_restored_store() {
    restore(12, new Item("a", 12, 2), new Item("b", 11, 7));

    assertThat(objects.completeTo()).isEqualTo(new StorePosition(2, 12));
    assertThat(objects.lastChange()).isEqualTo(new StorePosition(2, 12));
  }

  @Test
  void should_keep_the_time_of_a_change_that_the_restored_store_contains() {
    restore(12, new Item("a", 12, 2), new Item("b", 11, 7));

    assertThat(notifications).containsExactlyInAnyOrder("+a2@1000", "+b7@1000");
  }

  @Test
  void should_retain_an_object_that_the_copy_shows_in_an_older_state() {
    restore(12, new Item("a", 12, 2), new Item("b", 11, 6));

    assertThat(notifications).containsExactly("+a2@1000", "?b");
    assertThat(objects.objects()).extracting(Item::content).containsExactlyInAnyOrder(2, 7);
    assertThat(objects.storedObjects()).extracting(Item::content).containsExactlyInAnyOrder(2, 6);
  }

  @Test
  void should_take_over_a_retained_object_once_it_is_written_again() {
    restore(12, new Item("a", 12, 2), new Item("b", 11, 6));
    change(false, new Item("b", 13, 8));

    assertThat(notifications).containsExactly("+a2@1000", "?b", "+b8@9000");
    assertThat(objects.retainedObjects()).isEmpty();
  }

  @Test
  void should_not_go_back_while_an_object_is_written_in_older_states_first() {
    restore(12, new Item("a", 12, 2), new Item("b", 11, 5));
    change(false, new Item("b", 13, 6));
    assertThat(objects.objects()).extracting(Item::content).containsExactlyInAnyOrder(2, 7);

    change(false, new Item("b", 14, 7));
    assertThat(objects.retainedObjects()).isEmpty();
  }

  @Test
  void should_remove_an_object_that_the_copy_lacks_only_when_retention_ends() {
    restore(12, new Item("a", 12, 2));
    assertThat(notifications).containsExactly("+a2@1000", "?b");

    objects.endRetention();
    assertThat(notifications).containsExactly("+a2@1000", "?b", "-b");
  }

  @Test
  void should_keep_an_object_whose_lease_the_store_has_lost_until_retention_ends() {
    restore(12, new Item("a", 12, 2), new Item("b", 11, 7));
    notifications.clear();
    change(true, new Item("b", 13, 7));
    assertThat(notifications).containsExactly("?b");

    change(false, new Item("b", 14, 7));
    objects.endRetention();
    assertThat(notifications).containsExactly("?b", "+b7@1000");
  }

  @Test
  void should_not_show_an_object_again_that_was_deleted_after_the_copy() {
    objects.apply(new Item("b", 21, 7), true, new StorePosition(1, 21), name -> 0);
    objects.advance(new StorePosition(1, 21));
    notifications.clear();
    restore(20, new Item("a", 18, 2), new Item("b", 20, 7));
    assertThat(notifications).containsExactly("+a2@1000");

    objects.endRetention();
    assertThat(notifications).contains("+b7@0");
  }

  @Test
  void should_show_an_object_that_was_deleted_after_the_copy_and_is_written_again() {
    objects.apply(new Item("b", 21, 7), true, new StorePosition(1, 21), name -> 0);
    objects.advance(new StorePosition(1, 21));
    restore(20, new Item("a", 18, 2), new Item("b", 20, 7));
    notifications.clear();
    change(false, new Item("b", 21, 9));

    assertThat(notifications).containsExactly("+b9@9000");
  }

  @Test
  void should_take_an_older_state_that_has_no_version() {
    objects.apply(new Item("c", 21, -2), false, new StorePosition(1, 21), name -> 0);
    notifications.clear();
    restore(12, new Item("a", 12, 2), new Item("b", 11, 7), new Item("c", 12, -1));

    assertThat(notifications).contains("+c-1@9000");
  }

  @Test
  void should_retain_what_was_retained_when_the_store_is_restored_again() {
    restore(12, new Item("a", 12, 2));
    objects.restart(
        List.of(new Item("a", 12, 2)), new StorePosition(3, 12), name -> TIME_AFTER_RESTORE);

    assertThat(objects.objects()).extracting(Item::name).containsExactlyInAnyOrder("a", "b");
  }

  @Test
  void should_take_over_what_a_peer_retains() {
    MirroredObjects<Item> started =
        new MirroredObjects<>(
            Item::version,
            new MirroredObjects.Listener<Item>() {
              @Override
              public void onObject(Item object, long changedSince) {
                notifications.add("started +" + object.name() + object.content());
              }

              @Override
              public void onObjectRemoved(String name) {
                notifications.add("started -" + name);
              }
            });
    started.replaceAll(List.of(new Item("b", 11, 6)), new StorePosition(2, 12), name -> 0);
    started.beginRetention();
    started.retain(List.of(new Item("a", 18, 2), new Item("b", 20, 7)), name -> 0);

    assertThat(notifications).containsExactly("started +b6", "started +a2", "started +b7");
  }

  @Test
  void should_give_no_changes_since_a_position_of_an_earlier_era() {
    restore(12, new Item("a", 12, 2));
    change(false, new Item("a", 13, 3));

    assertThat(objects.changesSince(new StorePosition(1, 12))).isEmpty();
    assertThat(objects.changesSince(new StorePosition(2, 12)).orElseThrow()).hasSize(1);
  }

  @Test
  void should_end_retention_by_kind() {
    assertThat(Retention.NEWEST.endsAt(1_000)).isGreaterThan(1_000_000);
    assertThat(Retention.REWRITTEN.endsAt(1_000)).isBetween(3_000L, 4_000L);
    assertThat(Retention.MEMBERS.endsAt(1_000)).isGreaterThan(10_000);
  }
}
