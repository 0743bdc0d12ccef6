package org.toucanmast.core.mirror;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Mirrors of several VMs through random writes, restores from copies, watches and exchanges between
 * peers. A mirror never shows an older state of an object than it has shown before, and all of them
 * end up with what the store contains.
 */
class RestoredMirrorsPropertyTest {
  private static final int VMS = 4;
  private static final int NAMES = 3;

  private record Item(String name, long revision, long version) implements MirroredObject {
    @Override
    public long heapBytes() {
      return 100;
    }

    @Override
    public boolean hasContentOf(MirroredObject other) {
      return other instanceof Item item && item.version == version;
    }
  }

  private record State(StorePosition position, Map<String, Item> objects) {}

  /** A store with the changes of its present era, and the copies that were taken of it. */
  private static final class Store {
    private final List<State> copies = new ArrayList<>();
    private final Map<String, Long> written = new TreeMap<>();
    private Map<String, Item> objects = new TreeMap<>();
    private List<Item> changes = new ArrayList<>();
    private StorePosition position = new StorePosition(1, 10);

    void write(String name) {
      put(name, written.merge(name, 1L, Long::sum));
    }

    private void put(String name, long version) {
      position = new StorePosition(position.era(), position.revision() + 1);
      Item item = new Item(name, position.revision(), version);
      objects.put(name, item);
      changes.add(item);
    }

    void copy() {
      copies.add(new State(position, new TreeMap<>(objects)));
    }

    void restore(Random random) {
      if (!copies.isEmpty()) {
        State copy = copies.get(random.nextInt(copies.size()));
        position = new StorePosition(position.era() + 1, copy.position().revision());
        objects = new TreeMap<>(copy.objects());
        changes = new ArrayList<>();
        // Later copies are of a history that no longer exists.
        copies.removeIf(other -> other.position().revision() > position.revision());
      }
    }

    /** Writes again what the copy lacks, as the writers of the objects do. */
    void writeAgain() {
      written.forEach(
          (name, version) -> {
            Item item = objects.get(name);
            if (item == null || item.version() < version) {
              put(name, version);
            }
          });
    }
  }

  private static final class Vm {
    private final Map<String, Long> shown = new TreeMap<>();
    private final List<String> regressions = new ArrayList<>();
    private final MirroredObjects<Item> mirror =
        new MirroredObjects<>(
            item -> Optional.of(new ContentVersion(0, item.version())),
            new MirroredObjects.Listener<Item>() {
              @Override
              public void onObject(Item object, long changedSince) {
                Long before = shown.put(object.name(), object.version());
                if (before != null && before > object.version()) {
                  regressions.add(object.name() + " from " + before + " to " + object.version());
                }
              }

              @Override
              public void onObjectRemoved(String name) {
                regressions.add(name + " removed");
              }
            });

    void watch(Store store) {
      StorePosition known = mirror.completeTo();
      if (!mirror.isLoaded()) {
        mirror.replaceAll(store.objects.values(), store.position, name -> 0);
      } else if (known.era() < store.position.era()) {
        mirror.restart(store.objects.values(), store.position, name -> 0);
      } else {
        store.changes.stream()
            .filter(change -> change.revision() > known.revision())
            .forEach(change -> mirror.apply(change, false, store.position, name -> 0));
        mirror.advance(store.position);
      }
    }

    void pull(Vm peer) {
      StorePosition position = peer.mirror.completeTo();
      if (!peer.mirror.isLoaded() || position.era() < mirror.completeTo().era()) {
        return;
      }
      if (mirror.isLoaded() && position.era() > mirror.completeTo().era()) {
        mirror.restart(peer.mirror.storedObjects(), position, name -> 0);
      } else {
        mirror.replaceAll(peer.mirror.storedObjects(), position, name -> 0);
      }
      mirror.beginRetention();
      mirror.retain(peer.mirror.retainedObjects(), name -> 0);
    }
  }

  @Property(tries = 500, seed = "20261204")
  void should_never_go_back_and_converge(@ForAll long seed) {
    Random random = new Random(seed);
    Store store = new Store();
    List<Vm> vms = new ArrayList<>();
    for (int number = 0; number < VMS; number++) {
      vms.add(new Vm());
    }
    for (int step = 0; step < 60; step++) {
      Vm vm = vms.get(random.nextInt(VMS));
      switch (random.nextInt(8)) {
        case 0 -> store.copy();
        case 1 -> store.restore(random);
        case 2, 3 -> store.write("object-" + random.nextInt(NAMES));
        case 4, 5 -> vm.watch(store);
        default -> vm.pull(vms.get(random.nextInt(VMS)));
      }
    }
    store.writeAgain();
    vms.get(0).watch(store);
    vms.forEach(vm -> vm.pull(vms.get(0)));
    vms.forEach(vm -> vm.mirror.endRetention());

    for (Vm vm : vms) {
      assertThat(vm.regressions).isEmpty();
      assertThat(vm.mirror.completeTo()).isEqualTo(store.position);
      assertThat(vm.mirror.objects()).containsExactlyInAnyOrderElementsOf(store.objects.values());
    }
  }
}
