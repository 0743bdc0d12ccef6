package org.toucanmast.core.allowance;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SortedSet;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.toucanmast.core.configuration.Allowance;
import org.toucanmast.core.membership.Epoch;
import org.toucanmast.core.membership.EpochAdoption;

/**
 * Drives the lenders and holders of several VMs through pauses, cuts, lost, late and doubled
 * messages, restarts and changes of epoch, and counts every token given out.
 */
class SharedAllowanceModelTest {
  private static final long MILLISECOND = 1_000_000;
  private static final long LEASE = 600 * MILLISECOND;
  private static final long LEASE_BOUND = 660 * MILLISECOND;
  private static final long BEAT = 100 * MILLISECOND;
  private static final long SILENCE = 500 * MILLISECOND;
  private static final Allowance ALLOWANCE = new Allowance(300, 12);
  private static final String CUSTOMER = "bench";

  private record Message(int from, int to, long deliverAt, Beat beat) {}

  private record Beat(
      long incarnation,
      long sentAt,
      long echoed,
      long echoedIncarnation,
      long epoch,
      long version,
      long acknowledged,
      boolean active,
      LendingView view) {}

  private static final class Peer {
    private long incarnation = -1;
    private Beat newest;
    private long heardAt;
  }

  /** One VM, with a clock of its own that starts anywhere. */
  private final class Vm {
    private final String name;
    private final int number;
    private final long clockOffset;
    private final long incarnation;
    private final Lender lender = new Lender(LEASE_BOUND);
    private final Holder holder;
    private final EpochAdoption gate;
    private final Map<Integer, Peer> peers = new HashMap<>();
    private long pausedUntil;
    private long nextBeat;

    private Vm(int number, long now) {
      this.number = number;
      this.name = "vm-" + number;
      this.clockOffset = random.nextInt(1_000_000) * MILLISECOND;
      this.incarnation = now;
      this.holder = new Holder(name, 0);
      this.gate = new EpochAdoption(name, LEASE_BOUND, clock(now));
      this.nextBeat = now;
    }

    private long clock(long now) {
      return now + clockOffset;
    }

    private void beat(long now) {
      long clock = clock(now);
      gate.onEpoch(epoch, clock);
      Epoch adopted = gate.adopted(clock);
      SortedSet<String> skipped = new TreeSet<>();
      for (String member : adopted.members()) {
        int other = Integer.parseInt(member.substring(3));
        Peer peer = peers.get(other);
        boolean live =
            other == number
                || (peer != null && peer.newest != null && clock - peer.heardAt <= SILENCE);
        if (!live) {
          skipped.add(member);
        }
      }
      lender.want(new LendingView(adopted, skipped), clock);
      boolean owns = gate.mayUseShare(clock) && lender.active().epoch().members().contains(name);
      if (owns && lender.active().candidates().contains(name)) {
        holder.onLease(
            name,
            new Holder.Lease(clock + LEASE, lender.active().fraction(), lender.active()),
            clock);
      } else {
        holder.onWithdrawn(name, clock);
      }
      for (int other = 0; other < vms.length; other++) {
        if (other != number) {
          send(other, owns, now);
        }
      }
    }

    private void send(int other, boolean owns, long now) {
      Peer peer = peers.computeIfAbsent(other, key -> new Peer());
      boolean lends = owns && lender.lendsTo("vm-" + other);
      long echoed = peer.newest == null ? 0 : peer.newest.sentAt();
      if (lends && echoed != 0) {
        lender.onLent("vm-" + other, peer.heardAt);
      }
      Beat beat =
          new Beat(
              incarnation,
              clock(now),
              echoed,
              peer.incarnation,
              lender.active().epoch().number(),
              lender.version(),
              peer.newest == null ? 0 : peer.newest.version(),
              lends,
              lender.active());
      transmit(number, other, beat, now);
    }

    private void receive(int from, Beat beat, long now) {
      long clock = clock(now);
      Peer peer = peers.computeIfAbsent(from, key -> new Peer());
      String name = "vm-" + from;
      if (beat.incarnation() < peer.incarnation) {
        return;
      }
      if (beat.incarnation() > peer.incarnation) {
        peer.incarnation = beat.incarnation();
        peer.newest = null;
        lender.onPeerRestarted(name);
        holder.onWithdrawn(name, clock);
      }
      if (peer.newest != null && beat.sentAt() <= peer.newest.sentAt()) {
        return;
      }
      peer.newest = beat;
      peer.heardAt = clock;
      boolean knowsThisRun = beat.echoedIncarnation() == incarnation;
      if (knowsThisRun) {
        lender.onAcknowledged(name, beat.acknowledged());
      }
      gate.onPeerAdopted(name, beat.epoch());
      if (!beat.active()) {
        holder.onWithdrawn(name, clock);
      } else if (knowsThisRun && beat.echoed() != 0 && beat.echoed() <= clock) {
        holder.onLease(
            name,
            new Holder.Lease(beat.echoed() + LEASE, beat.view().fraction(), beat.view()),
            clock);
      }
      lender.step(clock);
    }
  }

  private Random random;
  private Vm[] vms;
  private Epoch epoch;
  private boolean[][] cut;
  private final List<Message> network = new ArrayList<>();
  private final Deque<Long> taken = new ArrayDeque<>();
  private long total;
  private boolean demand;
  private long demandChangesAt;

  private void transmit(int from, int to, Beat beat, long now) {
    if (cut[from][to] || random.nextInt(20) == 0) {
      return;
    }
    long delay = random.nextInt(10) == 0 ? random.nextInt(900) : 1 + random.nextInt(3);
    network.add(new Message(from, to, now + delay * MILLISECOND, beat));
    if (random.nextInt(20) == 0) {
      network.add(new Message(from, to, now + (delay + random.nextInt(400)) * MILLISECOND, beat));
    }
  }

  private static SortedSet<String> names(int count) {
    SortedSet<String> names = new TreeSet<>();
    for (int number = 0; number < count; number++) {
      names.add("vm-" + number);
    }
    return names;
  }

  @Property(tries = 60, seed = "20261204")
  void should_never_give_out_more_than_one_bucket(
      @ForAll int seed, @ForAll @IntRange(min = 2, max = 5) int count) {
    start(seed, count);

    long end = 20_000 * MILLISECOND;
    for (long now = 0; now < end; now += MILLISECOND) {
      if (now >= demandChangesAt) {
        demand = !demand;
        demandChangesAt = now + random.nextInt(demand ? 900 : 500) * MILLISECOND;
      }
      disturb(now);
      deliver(now);
      for (Vm vm : vms) {
        if (now >= vm.pausedUntil) {
          serve(vm, now);
        }
      }
    }

    assertThat(total).as("tokens given out over the run").isPositive();
  }

  private void start(int seed, int count) {
    random = new Random(seed);
    network.clear();
    taken.clear();
    total = 0;
    demand = false;
    demandChangesAt = 0;
    epoch = new Epoch(1, names(count));
    vms = new Vm[count];
    cut = new boolean[count][count];
    for (int number = 0; number < count; number++) {
      vms[number] = new Vm(number, 0);
    }
  }

  private void disturb(long now) {
    if (random.nextInt(400) != 0) {
      return;
    }
    int victim = random.nextInt(vms.length);
    switch (random.nextInt(7)) {
      case 0 -> vms[victim].pausedUntil = now + random.nextInt(2_000) * MILLISECOND;
      case 1 -> cut[victim][random.nextInt(vms.length)] = true;
      case 2 -> cut = new boolean[vms.length][vms.length];
      case 3 -> {
        vms[victim] = new Vm(victim, now);
        vms[victim].pausedUntil = now + random.nextInt(150) * MILLISECOND;
      }
      case 4 -> isolate(victim);
      case 5 -> {
        int other = random.nextInt(vms.length);
        cut[victim][other] = true;
        cut[other][victim] = true;
      }
      default -> changeEpoch(now);
    }
  }

  private void isolate(int victim) {
    for (int other = 0; other < vms.length; other++) {
      cut[victim][other] = true;
      cut[other][victim] = true;
    }
  }

  /** Removes a VM that has just died, or takes back one that was removed. */
  private void changeEpoch(long now) {
    SortedSet<String> members = new TreeSet<>(epoch.members());
    if (members.size() < vms.length) {
      members = names(vms.length);
    } else if (members.size() > 1) {
      int dead = random.nextInt(vms.length);
      vms[dead] = new Vm(dead, now);
      vms[dead].pausedUntil = now + 500 * MILLISECOND;
      members.remove("vm-" + dead);
    }
    epoch = new Epoch(epoch.number() + 1, members);
  }

  private void deliver(long now) {
    List<Message> due = network.stream().filter(each -> each.deliverAt() <= now).toList();
    network.removeIf(each -> each.deliverAt() <= now && now >= vms[each.to()].pausedUntil);
    for (Message message : due) {
      if (now >= vms[message.to()].pausedUntil && !cut[message.from()][message.to()]) {
        vms[message.to()].receive(message.from(), message.beat(), now);
      }
    }
  }

  private void serve(Vm vm, long now) {
    if (now >= vm.nextBeat) {
      vm.beat(now);
      vm.nextBeat = now + BEAT;
    }
    int wanted = demand ? 20 : 0;
    int count = vm.holder.take(CUSTOMER, ALLOWANCE, wanted, vm.clock(now));
    for (int token = 0; token < count; token++) {
      taken.addLast(now);
      total++;
    }
    check(now);
  }

  private void check(long now) {
    int count = 0;
    for (long at : (Iterable<Long>) taken::descendingIterator) {
      count++;
      double seconds = (now - at) / 1e9;
      assertThat((double) count)
          .as("tokens in a window of %s s", seconds)
          .isLessThanOrEqualTo(ALLOWANCE.burst() + ALLOWANCE.rate() * seconds + 1e-6);
      if (seconds > 2) {
        return;
      }
    }
  }
}
